/**
 * Starts and stops the child processes of a deployment under test. Only test tools start processes.
 */
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {createWriteStream} from 'node:fs';
import process from 'node:process';

/** Program to start, with its arguments and environment. */
export type ProcessSpecification = {
	readonly name: string;
	/** Path of the compiled program; it runs with the Node.js of this process. */
	readonly script: string;
	readonly arguments: readonly string[];
	/** File that standard output and standard error are appended to. */
	readonly logFile: string;
	/** Environment variables in addition to those of this process. */
	readonly environment?: Readonly<Record<string, string>>;
	/** Command-line options of Node.js. */
	readonly nodeArguments?: readonly string[];
};

/** Exit code of a process, or the signal that ended it. */
export type ProcessExit = {
	readonly code: number | undefined;
	readonly signal: NodeJS.Signals | undefined;
};

/** A started child process. */
export type RunningProcess = {
	readonly name: string;
	readonly pid: number;
	readonly hasExited: () => boolean;
	/** Sends a signal; does nothing once the process has exited. */
	readonly signal: (name: NodeJS.Signals) => void;
	/** Resolves when the process has exited. */
	readonly exited: Promise<ProcessExit>;
};

const runningChildren = new Set<ChildProcess>();

// Leaves no child processes behind when a test tool fails before it stops them.
process.once('exit', () => {
	for (const child of runningChildren) {
		child.kill('SIGKILL');
	}
});

const waitForExit = async (child: ChildProcess): Promise<ProcessExit> => {
	const [code, signal] = await once(child, 'exit') as [number | null, NodeJS.Signals | null]; // eslint-disable-line @typescript-eslint/no-restricted-types
	return {code: code ?? undefined, signal: signal ?? undefined};
};

/**
 * Starts a child process. It is killed when this process exits.
 *
 * @param specification - Program, arguments and log file.
 * @returns The started process.
 * @throws If the process cannot be spawned.
 */
export const startProcess = ({name, script, arguments: programArguments, logFile, environment = {}, nodeArguments = []}: ProcessSpecification): RunningProcess => {
	const child = spawn(process.execPath, [...nodeArguments, script, ...programArguments], {
		env: {...process.env, ...environment},
		stdio: ['ignore', 'pipe', 'pipe'],
	});
	if (child.pid === undefined) {
		throw new Error(`${name}: ${script} could not be started`);
	}

	runningChildren.add(child);
	const log = createWriteStream(logFile, {flags: 'a'});
	child.stdout.pipe(log, {end: false});
	child.stderr.pipe(log, {end: false});
	let hasEnded = false;
	const exited = (async () => {
		const exit = await waitForExit(child);
		hasEnded = true;
		runningChildren.delete(child);
		log.end();
		return exit;
	})();

	return {
		name,
		pid: child.pid,
		hasExited: () => hasEnded,
		signal(signalName) {
			if (!hasEnded) {
				child.kill(signalName);
			}
		},
		exited,
	};
};

/**
 * Stops a process with SIGTERM and kills it if it does not exit in time. A paused process is resumed first.
 *
 * @param running - The process.
 * @param graceMs - Time to exit before SIGKILL.
 * @returns The exit code or signal.
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
