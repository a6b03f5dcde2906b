/**
 * Child processes of a deployment under test. Only test tools start processes.
 */
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {createWriteStream} from 'node:fs';
import process from 'node:process';

/** What to start. */
export type ProcessSpecification = {
	readonly name: string;
	/** Compiled program, run with this Node.js. */
	readonly script: string;
	readonly arguments: readonly string[];
	/** File that gets standard output and standard error. */
	readonly logFile: string;
	/** Extra environment variables. */
	readonly environment?: Readonly<Record<string, string>>;
	/** Options of Node.js itself. */
	readonly nodeArguments?: readonly string[];
};

/** How a process ended. */
export type ProcessExit = {
	readonly code: number | undefined;
	readonly signal: NodeJS.Signals | undefined;
};

/** A running process. */
export type RunningProcess = {
	readonly name: string;
	readonly pid: number;
	readonly hasExited: () => boolean;
	/** Sends a signal; does nothing once the process has ended. */
	readonly signal: (name: NodeJS.Signals) => void;
	/** Resolves when the process has ended. */
	readonly exited: Promise<ProcessExit>;
};

const running = new Set<ChildProcess>();

// A test tool that fails half way leaves none of its processes behind.
process.once('exit', () => {
	for (const child of running) {
		child.kill('SIGKILL');
	}
});

const waitForExit = async (child: ChildProcess): Promise<ProcessExit> => {
	const [code, signal] = await once(child, 'exit') as [number | null, NodeJS.Signals | null]; // eslint-disable-line @typescript-eslint/no-restricted-types
	return {code: code ?? undefined, signal: signal ?? undefined};
};

/**
 * Starts a process.
 *
 * @param specification - Program, arguments and log file.
 * @returns The running process.
 * @throws If the process cannot be started at all.
 */
export const startProcess = ({name, script, arguments: programArguments, logFile, environment = {}, nodeArguments = []}: ProcessSpecification): RunningProcess => {
	const child = spawn(process.execPath, [...nodeArguments, script, ...programArguments], {
		env: {...process.env, ...environment},
		stdio: ['ignore', 'pipe', 'pipe'],
	});
	if (child.pid === undefined) {
		throw new Error(`${name}: ${script} could not be started`);
	}

	running.add(child);
	const log = createWriteStream(logFile, {flags: 'a'});
	child.stdout.pipe(log, {end: false});
	child.stderr.pipe(log, {end: false});
	let ended = false;
	const exited = (async () => {
		const exit = await waitForExit(child);
		ended = true;
		running.delete(child);
		log.end();
		return exit;
	})();

	return {
		name,
		pid: child.pid,
		hasExited: () => ended,
		signal(signalName) {
			if (!ended) {
				child.kill(signalName);
			}
		},
		exited,
	};
};

/**
 * Asks a process to stop and kills it if it takes too long.
 *
 * @param running - The process.
 * @param graceMs - Time to stop by itself.
 * @returns How it ended.
 */
export const stopProcess = async (running: RunningProcess, graceMs: number): Promise<ProcessExit> => {
	running.signal('SIGCONT');
	running.signal('SIGTERM');
	const timer = setTimeout(() => {
		running.signal('SIGKILL');
	}, graceMs);
	const exit = await running.exited;
	clearTimeout(timer);
	return exit;
};
