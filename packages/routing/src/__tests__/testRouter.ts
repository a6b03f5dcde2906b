/**
 * A router on a manual clock, with attempts whose outcomes a test determines.
 */
import {silentLogger} from '@filbertwell/logger/logger';
import type {Configuration} from '@filbertwell/types/configuration';
import type {Endpoint, Route, Tenant} from '@filbertwell/types/intent';
import {createManualClock} from '@filbertwell/utils/clock';
import {createRandom} from '@filbertwell/utils/random';
import type {Attempt, AttemptOutcome, Completion} from '../attempt.js';
import {createRouter, type RouterOptions} from '../createRouter.js';
import type {RoutedRequest} from '../routedRequest.js';

export const endpoint = (id: string, changes: Partial<Endpoint> = {}): Endpoint => ({
	id, host: '127.0.0.1', port: 1, availabilityZone: 'n1', slots: 2, ...changes,
});

export const route = (changes: Partial<Route> = {}): Route => ({
	name: 'read', methods: [], pathPrefix: '/', requestClass: 'interactive', kind: 'idempotent', deadlineMs: 1000, hedge: true, claimOutage: 'refuse', ...changes,
});

export const configuration = (endpoints: readonly Endpoint[], changes: Partial<Configuration['intent']> = {}): Configuration => ({
	version: 1,
	changeId: 'c',
	author: 'test',
	acceptedAt: '2026-01-01T00:00:00Z',
	intent: {
		deployment: 'test',
		regions: [{name: 'north', availabilityZones: ['n1', 'n2']}, {name: 'south', availabilityZones: ['s1']}],
		services: [{
			name: 'inventory', pathPrefix: '/inventory', hosts: [], endpoints, routes: [route()], maximumBodyBytes: 1000,
		}],
		regionShares: [],
		linkCaps: [],
		shiftCaps: {plannedSharePerMinute: 0.1, failoverSharePerMinute: 1},
		drains: [],
		shifts: [],
		sites: [],
		sitePreferences: [],
		clientBlocks: [],
		lookups: {lifetimeSeconds: 1, addresses: 1, defaultPreference: ''},
		tenants: [] as Tenant[],
		...changes,
	},
});

/** Timers that fire when the manual clock advances past them. */
const createManualTimers = (startMs = 0) => {
	const clock = createManualClock(startMs);
	const timers = new Set<{readonly atMs: number; readonly task: () => void}>();
	const settle = async () => {
		for (let turn = 0; turn < 20; turn += 1) {
			await Promise.resolve(); // eslint-disable-line no-await-in-loop
		}
	};

	return {
		now: clock.now,
		schedule(milliseconds: number, task: () => void) {
			const timer = {atMs: clock.now() + Math.max(0, milliseconds), task};
			timers.add(timer);
			return () => {
				timers.delete(timer);
			};
		},
		settle,
		async advance(milliseconds: number) {
			await settle();
			const endMs = clock.now() + milliseconds;
			for (;;) {
				const [next] = [...timers].filter(({atMs}) => atMs <= endMs).toSorted((a, b) => a.atMs - b.atMs);
				if (next === undefined) {
					break;
				}

				timers.delete(next);
				clock.advance(Math.max(0, next.atMs - clock.now()));
				next.task();
				await settle(); // eslint-disable-line no-await-in-loop
			}

			clock.advance(endMs - clock.now());
			await settle();
		},
	};
};

type Outcome = AttemptOutcome<string>;

/** An attempt whose outcome the test determines. */
export type SentAttempt = {
	readonly endpoint: string;
	readonly attempt: Attempt;
	readonly settle: (outcome: Outcome) => void;
	/** Answers with a status and a complete body. */
	readonly answer: (status?: number) => void;
	/** Answers with headers only; returns a function that ends the body. */
	readonly sendHeaders: () => (completion: Completion) => void;
};

export const createTestRouter = (endpoints: readonly Endpoint[], options: Partial<RouterOptions> = {}, intent: Partial<Configuration['intent']> = {}) => {
	const timers = createManualTimers();
	const sent: SentAttempt[] = [];
	const router = createRouter({
		clock: timers.now,
		random: createRandom(1),
		log: silentLogger,
		metrics: {increment: () => undefined},
		self: {id: 'e1', region: 'north', availabilityZone: 'n1'},
		schedule: timers.schedule,
		...options,
	});
	router.configure(configuration(endpoints, intent));

	const send = async (target: Endpoint, attempt: Attempt): Promise<Outcome> => new Promise(resolve => {
		let end: (completion: Completion) => void = () => undefined;
		const completion = new Promise<Completion>(resolve => {
			end = resolve;
		});
		attempt.signal.addEventListener('abort', () => {
			resolve({kind: 'cancelled', written: true});
			end('cancelled');
		});
		const sendHeaders = (status = 200) => {
			resolve({
				kind: 'answered', status, answer: target.id, report: undefined, completion,
			});
			return end;
		};

		sent.push({
			endpoint: target.id,
			attempt,
			settle: resolve,
			answer(status = 200) {
				sendHeaders(status)('complete');
			},
			sendHeaders: () => sendHeaders(),
		});
	});

	const request = (changes: Partial<RoutedRequest> = {}): RoutedRequest => ({
		service: 'inventory', route: route(), tenant: 'default', deadlineAtMs: timers.now() + 1000, signal: new AbortController().signal, replayable: true, ...changes,
	});

	return {
		router,
		timers,
		sent,
		request,
		routeRequest: async (changes: Partial<RoutedRequest> = {}) => router.route(request(changes), send),
		/** Runs requests sequentially, each answered after a time, so that the router learns durations. */
		async learnDurations(count: number, milliseconds: number, changes: Partial<RoutedRequest> = {}) {
			for (let index = 0; index < count; index += 1) {
				const outcome = router.route(request(changes), send);
				await timers.advance(milliseconds); // eslint-disable-line no-await-in-loop
				for (const attempt of sent.splice(0)) {
					attempt.answer();
				}

				await outcome; // eslint-disable-line no-await-in-loop
				await timers.settle(); // eslint-disable-line no-await-in-loop
			}
		},
	};
};
