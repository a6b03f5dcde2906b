/**
 * Loads the experiments, which are the compiled modules of one folder.
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
		throw new Error(`${new URL(file, folder).pathname}: has no export "experiment"; add "export const experiment: Experiment"`);
	}

	return module.experiment;
};

/**
 * Loads all experiments of a folder.
 *
 * @param folder - URL of the folder of compiled modules, with a trailing slash. A missing folder counts as empty.
 * @returns The experiments in the order of their file names.
 * @throws If a module has no export `experiment`.
 */
export const loadExperiments = async (folder: URL): Promise<readonly Experiment[]> => {
	const files = existsSync(folder) ? await readdir(folder) : [];
	const modules = files.filter(file => file.endsWith('.js')).toSorted();
	return Promise.all(modules.map(async file => loadExperiment(folder, file)));
};
