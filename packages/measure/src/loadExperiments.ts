/**
 * Finds the experiments: the compiled modules of one folder.
 */
import {existsSync} from 'node:fs';
import {readdir} from 'node:fs/promises';
import type {Experiment} from './experiment.js';

type ExperimentModule = {
	readonly experiment?: Experiment;
};

const loadExperiment = async (folder: URL, file: string): Promise<Experiment> => {
	const module = await import(new URL(file, folder).href) as ExperimentModule;
	if (module.experiment === undefined) {
		throw new Error(`${new URL(file, folder).pathname}: exports no "experiment"; export a const experiment: Experiment`);
	}

	return module.experiment;
};

/**
 * Loads each experiment of a folder.
 *
 * @param folder - Folder of compiled modules; its URL ends in a slash.
 * @returns The experiments in order of their file names.
 */
export const loadExperiments = async (folder: URL): Promise<readonly Experiment[]> => {
	const files = existsSync(folder) ? await readdir(folder) : [];
	const modules = files.filter(file => file.endsWith('.js')).toSorted();
	return Promise.all(modules.map(async file => loadExperiment(folder, file)));
};
