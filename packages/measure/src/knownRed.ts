/**
 * Reads KNOWN-RED.txt, the list of tests and bounds that fail because of a known fault.
 */
import {readFile} from 'node:fs/promises';

/**
 * Reads the known failures of experiments.
 *
 * @param file - URL of KNOWN-RED.txt. A file that cannot be read counts as empty.
 * @returns Lines of the file that contain `--experiment`.
 */
export const readKnownRed = async (file: URL): Promise<readonly string[]> => {
	try {
		const content = await readFile(file, 'utf8');
		return content.split('\n').filter(line => line.includes('--experiment '));
	} catch {
		return [];
	}
};

/**
 * Checks whether an experiment is listed as a known failure.
 *
 * @param lines - Lines from `readKnownRed`.
 * @param experiment - Name of the experiment.
 * @returns Whether a line contains `--experiment` followed by exactly this name.
 */
export const isKnownRed = (lines: readonly string[], experiment: string): boolean => lines
	.some(line => {
		const words = line.replaceAll(/[:,]/g, ' ').split(' ');
		return words.some((word, index) => word === experiment && words[index - 1] === '--experiment');
	});
