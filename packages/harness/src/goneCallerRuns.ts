/**
 * Runs of a process under test whose callers leave while it is short of processor time.
 */
import type {Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {
	callOnConnection, lateArrivals, type LeftRequest, openCallerConnection, type RecordingEndpoint, sendAndLeave, throttleProcess,
} from './leavingCallers.js';
import type {RunningProcess} from './startProcess.js';

/** A process under test in front of one endpoint. */
export type ProcessUnderTest = {
	readonly running: RunningProcess;
	/** Port for callers. */
	readonly port: number;
	readonly endpoint: RecordingEndpoint;
	/** Path of the requests; each adds a name of its own. */
	readonly pathPrefix: string;
	/** What the endpoint removes from the path when it is forwarded. */
	readonly strippedPrefix: string;
};

/** Whether callers have had a request answered on their connection before. */
export type ConnectionUse = 'new' | 'kept';

const standstillMs = 1200;
const standstillCallers = 30;
const throttledCallers = 300;
const throttledIntervalMs = 10;
/** Time for requests that were forwarded in spite of all to arrive. */
const settleMs = 500;

const openConnections = async ({port, pathPrefix}: ProcessUnderTest, use: ConnectionUse): Promise<readonly Socket[]> => Promise.all(Array.from({length: standstillCallers}, async (_, index) => {
	const socket = openCallerConnection(port);
	const response = use === 'kept' ? await callOnConnection(socket, `${pathPrefix}/kept-${index}`) : '200 OK';
	if (!response.includes('200 OK')) {
		throw new Error(`the first request of a kept connection was answered "${response.slice(0, 100)}"`);
	}

	return socket;
}));

/** Paths as the endpoint sees them. */
const forwardedPaths = (left: readonly LeftRequest[], {strippedPrefix}: ProcessUnderTest): LeftRequest[] => left.map(({path, closedAtMs}) => ({path: path.slice(strippedPrefix.length), closedAtMs}));

/**
 * Suspends the process while callers send a request and leave.
 *
 * @param target - The process.
 * @param use - Kind of the callers' connections.
 * @returns Paths of the requests that reached the endpoint, and the response to a request that was sent afterwards.
 */
export const runStandstill = async (target: ProcessUnderTest, use: ConnectionUse): Promise<{readonly reached: readonly string[]; readonly responseAfterwards: string}> => {
	const {running, port, endpoint, pathPrefix} = target;
	const sockets = await openConnections(target, use);
	running.signal('SIGSTOP');
	const [left] = await Promise.all([
		Promise.all(sockets.map(async (socket, index) => sendAndLeave(socket, `${pathPrefix}/gone-${index}`))),
		delay(standstillMs),
	]);
	running.signal('SIGCONT');
	const responseAfterwards = await callOnConnection(openCallerConnection(port), `${pathPrefix}/after`);
	await delay(settleMs);
	return {reached: forwardedPaths(left, target).map(({path}) => path).filter(path => endpoint.arrivals.has(path)), responseAfterwards};
};

/**
 * Lets the process run for a tenth of the time while callers send requests and leave.
 *
 * @param target - The process.
 * @returns Paths of the requests that reached the endpoint late, and the number of those that reached it at all.
 */
export const runThrottled = async (target: ProcessUnderTest): Promise<{readonly late: readonly string[]; readonly reachedCount: number}> => {
	const {running, port, endpoint, pathPrefix} = target;
	const stopThrottling = throttleProcess(running);
	const leaving: Array<Promise<LeftRequest>> = [];
	for (let index = 0; index < throttledCallers; index++) {
		leaving.push(sendAndLeave(openCallerConnection(port), `${pathPrefix}/gone-${index}`));
		await delay(throttledIntervalMs); // eslint-disable-line no-await-in-loop
	}

	const left = forwardedPaths(await Promise.all(leaving), target);
	await delay(2 * standstillMs);
	stopThrottling();
	await delay(standstillMs);
	return {late: lateArrivals(left, endpoint), reachedCount: left.filter(({path}) => endpoint.arrivals.has(path)).length};
};
