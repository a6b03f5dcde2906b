/**
 * Submits a changed intent: check, diff, acceptance, and the wait until it is in force.
 */
import {randomUUID} from 'node:crypto';
import {acceptConfiguration, type AcceptanceError} from '@filbertwell/configuration/acceptConfiguration';
import type {Head} from '@filbertwell/configuration/head';
import {createOffer} from '@filbertwell/configuration/offer';
import {readHistory} from '@filbertwell/configuration/readConfiguration';
import {checkIntent} from '@filbertwell/intent/checkIntent';
import {diffIntent, type IntentChange} from '@filbertwell/intent/diffIntent';
import {formatIntentProblem} from '@filbertwell/intent/intentProblem';
import type {Configuration} from '@filbertwell/types/configuration';
import type {Intent} from '@filbertwell/types/intent';
import {
	err, ok, type Result,
} from 'neverthrow';
import {sendOffer} from './adminClient.js';
import {awaitInForce, type InForceReport} from './awaitInForce.js';
import type {CommandContext} from './commandContext.js';
import {failed, type CommandFailure, type CommandOutcome} from './commandFailure.js';
import {formatChanges} from './formatChanges.js';
import {formatTable} from './formatTable.js';
import {platformFailure, readAccepted} from './readAccepted.js';

/** Options of commands that change the configuration. */
export type ChangeOptions = {
	/** Version that the change was made from; the accepted one if left out. */
	readonly expect?: number | undefined;
	/** Token of the change; the same again does not apply it twice. */
	readonly changeId?: string | undefined;
	/** Version that the new one must pass; only after the table was restored from a backup. */
	readonly minimumVersion?: number | undefined;
	readonly wait: boolean;
	/** Longest wait in seconds. */
	readonly timeout: number;
	readonly dryRun: boolean;
};

/** A change to submit. */
export type Change = {
	/** What was accepted before; `undefined` where nothing was. */
	readonly base: Configuration | undefined;
	readonly intent: Intent;
};

/** Makes the change; not called where an earlier run with the same change id was accepted. */
export type ChangeMaker = () => Promise<Result<Change, CommandFailure>>;

type Accepted = {
	readonly version: number;
	readonly changeId: string;
	readonly changes: readonly IntentChange[];
};

const historyLimit = 1000;

const conflictFailure = async (context: CommandContext, expectedVersion: number, detail: string): Promise<CommandFailure> => {
	const [expected, winner] = await Promise.all([
		expectedVersion === 0 ? ok(undefined) : readAccepted(context, expectedVersion),
		readAccepted(context),
	]);
	const won = winner.isOk() ? winner.value : undefined;
	const base = expected.isOk() ? expected.value : undefined;
	const changes = won !== undefined && base !== undefined ? diffIntent(base.intent, won.intent) : [];
	const wonBy = won === undefined ? detail : `version ${won.version} by ${won.author} was accepted at ${won.acceptedAt}, and version ${expectedVersion} was expected`;
	return {
		kind: 'conflict',
		message: `conflict: ${wonBy}; merge your change with it and run the command again`,
		details: changes.length === 0 ? [] : ['what it changed:', ...formatChanges(changes, context.palette)],
		data: {expectedVersion, acceptedVersion: won?.version, changes},
	};
};

const acceptanceFailure = async (context: CommandContext, error: AcceptanceError, expectedVersion: number, changeId: string): Promise<CommandFailure> => {
	switch (error.kind) {
		case 'conflict': {
			return conflictFailure(context, expectedVersion, error.detail);
		}

		case 'unknown': {
			return {
				kind: 'unknown',
				message: `the change may have been accepted (${error.detail}); run the command again with --change-id ${changeId} --expect ${expectedVersion}`,
				details: [],
				data: {changeId, expectedVersion},
			};
		}

		case 'unavailable': {
			return {
				kind: 'unreachable', message: `nothing was accepted (${error.detail}); check [platform] in the settings and the platform's state, then run the command again`, details: [],
			};
		}

		case 'invalid': {
			return {kind: 'invalidInput', message: `nothing was accepted (${error.detail})`, details: []};
		}
	}
};

const firstChange = (intent: Intent): IntentChange[] => [{
	kind: 'added', path: `deployment ${intent.deployment}`, before: undefined, after: {services: intent.services.length, regions: intent.regions.length},
}];

/** Finds the version that an earlier run with the same change id made. */
const findEarlierRun = async (context: CommandContext, changeId: string | undefined): Promise<Result<Head | undefined, CommandFailure>> => {
	if (changeId === undefined) {
		return ok(undefined);
	}

	const history = await readHistory(context.platform, historyLimit);
	return history.isOk()
		? ok(history.value.find(head => head.changeId === changeId))
		: platformFailure(context, history.error);
};

const accept = async (context: CommandContext, {base, intent}: Change, options: ChangeOptions): Promise<Result<Accepted, CommandFailure>> => {
	const changes = base === undefined ? firstChange(intent) : diffIntent(base.intent, intent);
	const expectedVersion = options.expect ?? base?.version ?? 0;
	// After a restore from a backup the same intent needs a higher version all the same.
	const isHighEnough = expectedVersion > (options.minimumVersion ?? 0);
	if (base?.version === expectedVersion && changes.length === 0 && isHighEnough) {
		return ok({version: expectedVersion, changeId: base.changeId, changes});
	}

	const changeId = options.changeId ?? randomUUID();
	const acceptance = await acceptConfiguration({
		platform: context.platform,
		intent,
		expectedVersion,
		minimumVersion: options.minimumVersion,
		changeId,
		author: context.author,
		acceptedAt: new Date().toISOString(),
	});
	if (acceptance.isErr()) {
		return err(await acceptanceFailure(context, acceptance.error, expectedVersion, changeId));
	}

	// Should the platform go down now, entries that have the offer carry the change on.
	const offer = createOffer(acceptance.value);
	await Promise.all(context.settings.entries.adminAddresses.map(async address => sendOffer(address, offer)));
	return ok({version: acceptance.value.head.version, changeId, changes});
};

const describeInForce = (context: CommandContext, {instances, lagging, seconds, unanswered, version}: InForceReport): string => {
	const summary = `version ${version} is in force at ${instances.length - lagging.length} of ${instances.length} instances after ${seconds.toFixed(1)} s`;
	const rows = lagging.map(({id, availabilityZone, version: behind}) => [id, availabilityZone, behind === undefined ? 'not heard of' : String(behind)]);
	const table = rows.length === 0 ? [] : [formatTable(['LAGGING', 'ZONE', 'VERSION'], rows, context.palette)];
	return [summary, ...table, ...unanswered.map(error => `no answer from ${error}`)].join('\n');
};

const report = async (context: CommandContext, accepted: Accepted, {wait, timeout}: ChangeOptions): Promise<CommandOutcome> => {
	const {version, changeId, changes} = accepted;
	const text = [...formatChanges(changes, context.palette), `version ${version} is accepted (change ${changeId})`].join('\n');
	if (!wait) {
		return ok({text, data: accepted});
	}

	const inForce = await awaitInForce(context, version, timeout);
	if (inForce.isErr()) {
		return err({...inForce.error, message: `accepted as version ${version}, but not watched: ${inForce.error.message}`, data: accepted});
	}

	const isComplete = inForce.value.instances.length > 0 && inForce.value.lagging.length === 0;
	const described = describeInForce(context, inForce.value);
	const data = {...accepted, inForce: inForce.value};
	return isComplete
		? ok({text: `${text}\n${described}`, data})
		: failed('lagging', `accepted as version ${version}, but not in force everywhere within ${timeout} s; see the lagging instances, the change stays accepted`, described.split('\n'), data);
};

const submit = async (context: CommandContext, change: Change, options: ChangeOptions): Promise<CommandOutcome> => {
	const checked = checkIntent(change.intent);
	if (checked.isErr()) {
		const details = checked.error.map(problem => formatIntentProblem(problem));
		return failed('invalidInput', 'the change would leave an intent that is not usable, see each problem below; nothing was changed', details, checked.error);
	}

	if (options.dryRun) {
		const changes = change.base === undefined ? firstChange(change.intent) : diffIntent(change.base.intent, change.intent);
		return ok({text: [...formatChanges(changes, context.palette), 'dry run: nothing was changed'].join('\n'), data: {changes}});
	}

	const accepted = await accept(context, change, options);
	return accepted.isOk() ? report(context, accepted.value, options) : err(accepted.error);
};

/**
 * Submits a change, once for each change id.
 *
 * @param context - Context of the command.
 * @param options - Options of the change.
 * @param makeChange - Makes the intent after from the accepted one.
 * @returns What became of it.
 */
export const submitChange = async (context: CommandContext, options: ChangeOptions, makeChange: ChangeMaker): Promise<CommandOutcome> => {
	const earlier = await findEarlierRun(context, options.changeId);
	if (earlier.isErr()) {
		return err(earlier.error);
	}

	if (earlier.value !== undefined) {
		return report(context, {version: earlier.value.version, changeId: earlier.value.changeId, changes: []}, options);
	}

	const change = await makeChange();
	return change.isOk() ? submit(context, change.value, options) : err(change.error);
};
