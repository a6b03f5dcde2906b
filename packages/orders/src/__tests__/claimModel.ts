/**
 * Model of two claimers that use the same key. It runs the real protocol on a table where each call
 * is a choice: the order in which calls take effect, which replies are lost or late, which claimer
 * crashes, and when time passes.
 */
import {setImmediate as nextTurn} from 'node:timers/promises';
import {silentLogger} from '@filbertwell/logger/logger';
import {createMemoryState} from '@filbertwell/platform/memoryState';
import type {PlatformError} from '@filbertwell/platform/platformError';
import type {TransactionResult} from '@filbertwell/platform/table';
import {createManualClock} from '@filbertwell/utils/clock';
import {err, ok} from 'neverthrow';
import {createOrderFlow} from '../orderFlow.js';
import {defaultOrderLimits, type OrderLimits} from '../orderLimits.js';
import {orderRowKey, parseOrderRow, serializeOrderRow} from '../orderRow.js';
import type {DispatchOutcome, Order, OrderOutcome} from '../orders.js';
import type {OrderTable, WriteOutcome} from '../orderTable.js';
import {createOutcomeWriter} from '../outcomeWriter.js';
import {createKeptAnswers} from '../keptAnswers.js';
import type {Choose} from './exploreChoices.js';

/** Attempts and faults that an exploration covers. */
export type ClaimScenario = {
	/** The two attempts. */
	readonly attempts: ReadonlyArray<Pick<Order, 'attempt' | 'claimOutage' | 'remainingMs'>>;
	/** Maximum number of faults in one run: lost and late replies, rejected calls, crashes, failed dispatches, expired deadlines. */
	readonly faults: number;
	/** Maximum number of long pauses in one run. */
	readonly pauses: number;
	/** Whether the second attempt arrives only after a long pause. */
	readonly secondAfterPause: boolean;
	/** Whether the reply to a claim may be delayed, so that a pause can occur before the dispatch. */
	readonly holdReplies: boolean;
	/** Whether a long pause may remove the row by retention, as long as nothing has run. */
	readonly retention: boolean;
	readonly limits: Partial<OrderLimits>;
	readonly createToken: (claimer: string) => string;
};

type PendingCall = {
	readonly claimer: string;
	readonly options: ReadonlyArray<{readonly label: string; readonly faults: number; readonly apply: () => void}>;
};

const longPauseMs = 10_000;
const pollMs = 10;
const rowKey = orderRowKey('s', 't', 'k');
const failure = (kind: PlatformError['kind']): PlatformError => ({kind, operation: 'model', detail: 'fault injected by the model'});

const toWriteOutcome = ({kind, rows}: TransactionResult): WriteOutcome => kind === 'committed'
	? {kind: 'written', revision: rows[0]!.revision}
	: {kind: 'conflict', current: rows[0] && parseOrderRow(rows[0])};

/**
 * Runs the scenario once.
 *
 * @param scenario - Attempts, faults and limits.
 * @param choose - Makes the choices.
 * @returns The invariant that was violated, or `undefined`.
 */
export const runClaimModel = async (scenario: ClaimScenario, choose: Choose): Promise<string | undefined> => {
	const state = createMemoryState();
	const clock = createManualClock();
	const limits = {
		...defaultOrderLimits, waitLimitMs: 2 * pollMs, dispatchBoundMs: 1000, ...scenario.limits,
	};
	let pending: PendingCall[] = [];
	let delayedWrites: Array<{readonly label: string; readonly effect: () => void}> = [];
	let {faults} = scenario;
	let {pauses} = scenario;
	let hasPaused = false;
	const crashed = new Set<string>();
	const arrived = new Set<string>();
	let dispatching = 0;
	const runsBy = new Map<string, number>();
	const outcomes = new Map<string, OrderOutcome>();
	const tokens = new Map<string, number>();

	const addPendingCall = async <Value>(claimer: string, options: (resolve: (value: Value | Promise<Value>) => void) => PendingCall['options']): Promise<Value> => new Promise(resolve => {
		if (!crashed.has(claimer)) {
			const operation: PendingCall = {
				claimer,
				options: options(value => {
					pending = pending.filter(other => other !== operation);
					resolve(value);
				}),
			};
			pending.push(operation);
		}
	});

	const createTable = (claimer: string): OrderTable => ({
		async read() {
			return addPendingCall(claimer, resolve => [
				{
					label: `${claimer} reads`, faults: 0, apply() {
						const row = state.read(rowKey);
						resolve(ok(row && parseOrderRow(row)));
					},
				},
				{
					label: `${claimer} cannot read`, faults: 1, apply() {
						resolve(err(failure('unavailable')));
					},
				},
			]);
		},
		async write(key, revision, row) {
			const effect = () => state.transact({checks: [{key, revision}], writes: [{key, value: serializeOrderRow(row)}]});
			const label = `${claimer} writes ${row.state}`;
			return addPendingCall<Awaited<ReturnType<OrderTable['write']>>>(claimer, resolve => [
				{
					label, faults: 0, apply() {
						resolve(ok(toWriteOutcome(effect())));
					},
				},
				...(scenario.holdReplies && row.state === 'claimed'
					? [{
						label: `${label}, reply delayed`, faults: 0, apply() {
							const outcome = toWriteOutcome(effect());
							resolve(addPendingCall(claimer, deliver => [{
								label: `${claimer} receives its reply`, faults: 0, apply() {
									deliver(ok(outcome));
								},
							}]));
						},
					}]
					: []),
				{
					label: `${label}, rejected`, faults: 1, apply() {
						resolve(err(failure('unavailable')));
					},
				},
				{
					label: `${label}, reply lost`, faults: 1, apply() {
						effect();
						resolve(err(failure('unknown')));
					},
				},
				{
					label: `${label}, late or never`, faults: 1, apply() {
						delayedWrites.push({label: `${label} at ${revision} takes effect late`, effect});
						resolve(err(failure('unknown')));
					},
				},
			]);
		},
	});

	const createDispatch = (claimer: string) => async (): Promise<DispatchOutcome> => {
		const run = () => {
			runsBy.set(claimer, (runsBy.get(claimer) ?? 0) + 1);
		};

		dispatching += 1;
		const outcome = await addPendingCall<DispatchOutcome>(claimer, resolve => [
			{
				label: `${claimer} runs`, faults: 0, apply() {
					run();
					resolve({kind: 'answered', answer: {status: 200, headers: [], body: ''}});
				},
			},
			{
				label: `${claimer} is rejected by the upstream`, faults: 1, apply() {
					resolve({kind: 'not-run', reason: 'refused'});
				},
			},
			{
				label: `${claimer} runs, answer lost`, faults: 1, apply() {
					run();
					resolve({kind: 'in-doubt', reason: 'lost'});
				},
			},
		]);
		dispatching -= 1;
		return outcome;
	};

	const createClaimer = (claimer: string) => {
		const table = createTable(claimer);
		return createOrderFlow({
			table,
			outcomes: createOutcomeWriter({
				table, limits, random: () => 0.5, log: silentLogger, wait: async () => true,
			}),
			keptAnswers: createKeptAnswers(undefined, limits),
			limits,
			clock: clock.now,
			wallClock: clock.now,
			log: silentLogger,
			createToken() {
				tokens.set(claimer, (tokens.get(claimer) ?? 0) + 1);
				return scenario.createToken(`${claimer}${tokens.get(claimer)}`);
			},
			waitForChange: async () => addPendingCall<void>(claimer, resolve => [{
				label: `${claimer} waited`, faults: 0, apply() {
					clock.advance(pollMs);
					resolve();
				},
			}]),
			withTimeout: async promise => Promise.race([promise, addPendingCall<undefined>(claimer, resolve => [{
				label: `${claimer} reaches its deadline`, faults: 1, apply() {
					resolve(undefined);
				},
			}])]),
		});
	};

	const start = async (claimer: string, index: number): Promise<void> => {
		const submit = createClaimer(claimer);
		await addPendingCall<void>(claimer, resolve => [{
			label: `${claimer} arrives`, faults: 0, apply() {
				arrived.add(claimer);
				resolve();
			},
		}]);
		outcomes.set(claimer, await submit({
			service: 's', tenant: 't', key: 'k', fingerprint: 'f', ...scenario.attempts[index]!, isAbandoned: () => false, dispatch: createDispatch(claimer),
		}));
	};

	const passLongTime = (removeRows: boolean): void => {
		clock.advance(longPauseMs);
		pauses -= 1;
		hasPaused = true;
		if (removeRows && state.read(rowKey) !== undefined) {
			state.transact({checks: [], writes: [{key: rowKey, value: undefined}]});
		}
	};

	const crash = (claimer: string): void => {
		crashed.add(claimer);
		pending = pending.filter(operation => operation.claimer !== claimer);
	};

	/** A pause before A arrives has no effect. Rows are not removed during a dispatch, which is far shorter than the retention. */
	const mayPause = () => pauses > 0 && arrived.has('A');
	const mayRemoveRows = () => scenario.retention && runsBy.size === 0 && dispatching === 0;

	const events = () => {
		const ready = pending.filter(({claimer}) => claimer === 'A' || hasPaused || !scenario.secondAfterPause);
		const steps = ready.flatMap(({options}) => options).filter(option => option.faults <= faults);
		const isOver = !ready.some(({options}) => options.some(option => option.faults === 0));
		if (isOver) {
			return [];
		}

		return [
			...steps,
			...delayedWrites.map(({label, effect}) => ({
				label, faults: 0, apply() {
					delayedWrites = delayedWrites.filter(other => other.effect !== effect);
					effect();
				},
			})),
			...(faults > 0
				? ['A', 'B'].filter(claimer => !crashed.has(claimer)).map(claimer => ({
					label: `${claimer} crashes`, faults: 1, apply() {
						crash(claimer);
					},
				}))
				: []),
			...(mayPause()
				? [{
					label: 'a long time passes', faults: 0, apply() {
						passLongTime(false);
					},
				}]
				: []),
			...(mayPause() && mayRemoveRows()
				? [{
					label: 'a long time passes, rows are removed', faults: 0, apply() {
						passLongTime(true);
					},
				}]
				: []),
		];
	};

	const check = (): string | undefined => {
		const total = (runsBy.get('A') ?? 0) + (runsBy.get('B') ?? 0);
		if (total > 1) {
			return `ran ${total} times`;
		}

		if (outcomes.get('A')?.kind === 'not-run' && runsBy.has('A')) {
			return 'A was answered not-run, but ran';
		}

		return outcomes.get('B')?.kind === 'not-run' && total > 0 ? 'B was answered not-run, but the request ran' : undefined;
	};

	void start('A', 0);
	void start('B', 1);
	/** The calls of a claimer and the rows they saw, which determine its state. */
	const callHistories = new Map<string, string>();
	const stateKey = () => JSON.stringify([
		callHistories.get('A'), callHistories.get('B'), callHistories.get('world'), state.read(rowKey), delayedWrites.map(({label}) => label), faults, pauses, clock.now(), [...runsBy], [...outcomes],
	]);
	for (;;) {
		await nextTurn(); // eslint-disable-line no-await-in-loop -- lets the claimers reach their next calls
		const choices = events();
		if (choices.length === 0) {
			return check();
		}

		const index = choose(choices.map(({label}) => label), stateKey());
		if (index === undefined) {
			return undefined;
		}

		const chosen = choices[index]!;
		const claimer = /^[AB] /v.test(chosen.label) ? chosen.label.slice(0, 1) : 'world';
		callHistories.set(claimer, `${callHistories.get(claimer) ?? ''}${chosen.label} at ${clock.now()} on ${JSON.stringify(state.read(rowKey))};`);
		faults -= chosen.faults;
		chosen.apply();
	}
};
