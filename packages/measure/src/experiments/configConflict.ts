/**
 * Experiment `config-conflict`: two operators apply changes concurrently while the table loses
 * replies and rejects calls. The baseline treats a lost reply as a failure and applies the change
 * again as a new one.
 */
import {acceptConfiguration} from '@filbertwell/configuration/acceptConfiguration';
import {
	formatHead, headKey, versionKey, type Head,
} from '@filbertwell/configuration/head';
import {readHead, readHistory} from '@filbertwell/configuration/readConfiguration';
import {silentLogger} from '@filbertwell/logger/logger';
import type {Fault} from '@filbertwell/platform/faultPlan';
import {createHttpPlatform} from '@filbertwell/platform/httpPlatform';
import type {Platform} from '@filbertwell/platform/platform';
import {createPlatformStandin} from '@filbertwell/standins/platformStandin';
import {monotonicClock} from '@filbertwell/utils/clock';
import {createRandom} from '@filbertwell/utils/random';
import type {Experiment} from '../experiment.js';
import {createSmallIntent} from '../smallIntent.js';

const rounds = 100;
const operators = ['ana', 'bruno'] as const;
const historyLimit = 1000;
const timeoutMs = 5000;
const settleAttempts = 20;

/** Faults of the table, drawn for each call. */
const faults: readonly Fault[] = [
	{
		target: 'table', kind: 'lostReply', access: 'write', probability: 0.2,
	},
	{
		target: 'table', kind: 'down', access: 'write', probability: 0.1,
	},
	{target: 'table', kind: 'error', probability: 0.05},
	{
		target: 'table', kind: 'delay', probability: 0.2, delayMs: 5,
	},
];

/** Result of an apply, as reported to the operator. */
type ApplyResult = {
	readonly changeId: string;
	readonly outcome: 'accepted' | 'conflict' | 'unavailable' | 'unknown';
	/** The accepted version; 0 unless `outcome` is `accepted`. */
	readonly version: number;
};

/** Figures of all applies, compared with the history of versions. */
type ConflictCounts = {
	readonly applies: number;
	readonly accepted: number;
	readonly conflicts: number;
	readonly unsettled: number;
	readonly versions: number;
	readonly acceptedTwice: number;
	readonly toldWrongly: number;
	readonly gaps: number;
};

type Apply = (platform: Platform, operator: string, changeId: string, expectedVersion: number) => Promise<ApplyResult>;

const applyOnce: Apply = async (platform, operator, changeId, expectedVersion) => {
	for (let attempt = 0; ; attempt += 1) {
		const result = await acceptConfiguration({ // eslint-disable-line no-await-in-loop
			platform, intent: createSmallIntent(changeId), expectedVersion, changeId, author: operator, acceptedAt: '', sleep: async () => undefined,
		});
		if (result.isOk()) {
			return {changeId, outcome: 'accepted', version: result.value.head.version};
		}

		const {kind} = result.error;
		// An operator repeats the command with the same change id until its outcome is definite.
		if (kind === 'conflict' || kind === 'invalid' || attempt === settleAttempts) {
			return {changeId, outcome: kind === 'invalid' ? 'unavailable' : kind, version: 0};
		}
	}
};

/** Advances the head without checking whether a write whose reply was lost has taken effect. */
const applyWithoutSettling: Apply = async (platform, operator, changeId, expectedVersion) => {
	for (let attempt = 0; attempt < settleAttempts; attempt += 1) {
		const row = await platform.table.read(headKey); // eslint-disable-line no-await-in-loop
		const version = row.isOk() && row.value !== undefined ? (JSON.parse(row.value.value) as Head).version : 0;
		if (row.isErr()) {
			continue;
		}

		if (attempt === 0 && version !== expectedVersion) {
			return {changeId, outcome: 'conflict', version: 0};
		}

		const head = formatHead({
			version: version + 1, changeId, author: operator, acceptedAt: '', manifest: `0/${'0'.repeat(64)}`,
		});
		const result = await platform.table.transact({ // eslint-disable-line no-await-in-loop
			checks: [{key: headKey, revision: row.value?.revision ?? 0}],
			writes: [{key: headKey, value: head}, {key: versionKey(version + 1), value: head}],
		});
		if (result.isOk()) {
			return result.value.kind === 'committed' ? {changeId, outcome: 'accepted', version: version + 1} : {changeId, outcome: 'conflict', version: 0};
		}
	}

	return {changeId, outcome: 'unavailable', version: 0};
};

const countOutcomes = (applyResults: readonly ApplyResult[], outcome: ApplyResult['outcome']): number => applyResults.filter(result => result.outcome === outcome).length;

const runOperators = async (seed: number, apply: Apply): Promise<ConflictCounts> => {
	const standin = await createPlatformStandin({host: '127.0.0.1', port: 0});
	const connect = (client: number) => createHttpPlatform({
		address: standin.address, timeoutMs, clock: monotonicClock, random: createRandom(seed + client), log: silentLogger,
	});
	const verifier = connect(0);
	const platforms = operators.map((_, index) => connect(index + 1));
	const applyResults: ApplyResult[] = [];
	for (let round = 0; round < rounds; round += 1) {
		standin.setFaults([]);
		const head = await readHead(verifier); // eslint-disable-line no-await-in-loop
		const expectedVersion = head.isOk() ? head.value?.version ?? 0 : 0;
		standin.setFaults(faults, (seed * rounds) + round);
		const answers = operators.map(async (operator, index) => apply(platforms[index]!, operator, `${operator}-${round}`, expectedVersion));
		applyResults.push(...await Promise.all(answers)); // eslint-disable-line no-await-in-loop
	}

	standin.setFaults([]);
	const history = await readHistory(verifier, historyLimit);
	const versions = history.isOk() ? history.value.toReversed() : [];
	const timesAccepted = (changeId: string) => versions.filter(version => version.changeId === changeId).length;
	const wrong = applyResults.filter(({changeId, outcome, version}) => outcome === 'accepted'
		? versions[version - 1]?.changeId !== changeId
		: timesAccepted(changeId) > 0);
	for (const platform of [verifier, ...platforms]) {
		platform.close();
	}

	await standin.close();
	return {
		applies: applyResults.length,
		accepted: countOutcomes(applyResults, 'accepted'),
		conflicts: countOutcomes(applyResults, 'conflict'),
		unsettled: countOutcomes(applyResults, 'unknown') + countOutcomes(applyResults, 'unavailable'),
		versions: versions.length,
		acceptedTwice: applyResults.filter(({changeId}) => timesAccepted(changeId) > 1).length,
		toldWrongly: wrong.length,
		gaps: versions.filter((version, index) => version.version !== index + 1).length,
	};
};

/** Checks that concurrent applies are each accepted exactly once or rejected with a conflict. */
export const experiment: Experiment = {
	name: 'config-conflict',
	description: 'Two operators, 200 concurrent applies, lost replies: each accepted exactly once or rejected with a conflict',
	async run({seed}) {
		const baseline = await runOperators(seed, applyWithoutSettling);
		const value = await runOperators(seed, applyOnce);
		const wrong = value.acceptedTwice + value.toldWrongly + value.gaps + value.unsettled;
		return {
			experiment: 'config-conflict',
			seed,
			baseline,
			value,
			ratio: undefined,
			bound: 'each apply is accepted exactly once or refused with a conflict; versions without a gap',
			ok: wrong === 0 && value.versions === value.accepted,
		};
	},
};
