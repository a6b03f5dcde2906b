/**
 * Starts entry processes of a deployment and reads their state.
 */
import {createRequire} from 'node:module';
import {writeFile} from 'node:fs/promises';
import path from 'node:path';
import type {EntryState} from '@filbertwell/types/entryState';
import type {SocketAddress} from '@filbertwell/types/place';
import {entrySettingsText, type EntryPlacement} from './entrySettingsFile.js';
import {requestJson} from './httpJson.js';
import {startProcess, type RunningProcess} from './startProcess.js';

/** An entry process and access to its admin address. */
export type EntryProcess = {
	readonly placement: EntryPlacement;
	readonly process: RunningProcess;
	/** Reads the state from the admin address; `undefined` if the entry does not respond with status 200. */
	readonly state: () => Promise<EntryState | undefined>;
	readonly isReady: () => Promise<boolean>;
};

const entryScript = createRequire(import.meta.url).resolve('@filbertwell/entry/main');

const urlOf = ({host, port}: SocketAddress, pathname: string): string => `http://${host}:${port}${pathname}`;

/**
 * Starts an entry without waiting until it is ready.
 *
 * @param placement - Identity and addresses of the entry.
 * @param directory - Directory of its settings file and log file.
 * @param nodeArguments - Command-line options of Node.js.
 * @returns The started entry.
 */
export const startEntry = async (placement: EntryPlacement, directory: string, nodeArguments: readonly string[] = []): Promise<EntryProcess> => {
	const file = path.join(directory, `${placement.id}.ini`);
	await writeFile(file, entrySettingsText(placement));
	const running = startProcess({
		name: placement.id,
		script: entryScript,
		arguments: ['--settings', file],
		logFile: path.join(directory, `${placement.id}.log`),
		nodeArguments,
	});
	return {
		placement,
		process: running,
		async state() {
			const answer = await requestJson('GET', urlOf(placement.admin, '/state'));
			return answer?.status === 200 ? answer.body as EntryState : undefined;
		},
		async isReady() {
			const answer = await requestJson('GET', urlOf(placement.admin, '/ready'));
			return answer?.status === 200;
		},
	};
};
