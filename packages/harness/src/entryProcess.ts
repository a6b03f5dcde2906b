/**
 * Entry processes of a deployment.
 */
import {createRequire} from 'node:module';
import {writeFile} from 'node:fs/promises';
import path from 'node:path';
import type {EntryState} from '@filbertwell/types/entryState';
import type {SocketAddress} from '@filbertwell/types/place';
import {entrySettingsText, type EntryPlacement} from './entrySettingsFile.js';
import {requestJson} from './httpJson.js';
import {startProcess, type RunningProcess} from './startProcess.js';

/** A running entry. */
export type EntryProcess = {
	readonly placement: EntryPlacement;
	readonly process: RunningProcess;
	/** State by the admin address; `undefined` where it doesn't answer. */
	readonly state: () => Promise<EntryState | undefined>;
	readonly isReady: () => Promise<boolean>;
};

const script = createRequire(import.meta.url).resolve('@filbertwell/entry/main');

const urlOf = ({host, port}: SocketAddress, pathname: string): string => `http://${host}:${port}${pathname}`;

/**
 * Starts an entry without waiting for it.
 *
 * @param placement - Its settings.
 * @param directory - Where its settings and log go.
 * @param nodeArguments - Options of Node.js itself.
 * @returns The running entry.
 */
export const startEntry = async (placement: EntryPlacement, directory: string, nodeArguments: readonly string[] = []): Promise<EntryProcess> => {
	const file = path.join(directory, `${placement.id}.ini`);
	await writeFile(file, entrySettingsText(placement));
	const running = startProcess({
		name: placement.id,
		script,
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
