/**
 * Submits a changed intent: validates it, submits it for acceptance and, if requested, waits until it is in force.
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
import {createFailure, type CommandFailure, type CommandOutcome} from './commandFailure.js';
import {formatChanges} from './formatChanges.js';
import {formatTable} from './formatTable.js';
import {createPlatformFailure, readAccepted} from './readAccepted.js';

/** Options of commands that change the configuration. */
export type ChangeOptions = {
	/** Version that the change is based on; the accepted one by default. */
	readonly expect?: number | undefined;
	/** Idempotency token of the change; repeated runs with the same token apply it only once. */
	readonly changeId?: string | undefined;
	/** Version that the new version must exceed; used only after the table was restored from a backup. */
	readonly minimumVersion?: number | undefined;
	/** Whether to wait until the change is in force. */
	readonly wait: boolean;
	/** Maximum wait in seconds. */
	readonly timeout: number;
	readonly dryRun: boolean;
};

/** A change to submit. */
export type Change = {
	/** The accepted configuration before the change; `undefined` if there is none. */
	readonly base: Configuration | undefined;
	readonly intent: Intent;
};

/** Creates the change; not called if an earlier run with the same change id was accepted. */
export type CreateChange = () => Promise<Result<Change, CommandFailure>>;

type AcceptedChange = {
	readonly version: number;
	readonly changeId: string;
	readonly changes: readonly IntentChange[];
};

const historyLimit = 1000;

const conflictFailure = async (context: CommandContext, expectedVersion: number, detail: string): Promise<CommandFailure> => {
	const [expectedResult, acceptedResult] = await Promise.all([
		expectedVersion === 0 ? ok(undefined) : readAccepted(context, expectedVersion),
		readAccepted(context),
	]);
	const accepted = acceptedResult.isOk() ? acceptedResult.value : undefined;
	const base = expectedResult.isOk() ? expectedResult.value : undefined;
	const changes = accepted !== undefined && base !== undefined ? diffIntent(base.intent, accepted.intent) : [];
	const cause = accepted === undefined ? detail : `version ${accepted.version} by ${accepted.author} was accepted at ${accepted.acceptedAt}, and version ${expectedVersion} was expected`;
	return {
		kind: 'conflict',
		message: `conflict: ${cause}; merge your change with that version and run the command again`,
		details: changes.length === 0 ? [] : ['changes of the accepted version:', ...formatChanges(changes, context.palette)],
		data: {expectedVersion, acceptedVersion: accepted?.version, changes},
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

const listInitialChanges = (intent: Intent): IntentChange[] => [{
	kind: 'added', path: `deployment ${intent.deployment}`, before: undefined, after: {services: intent.services.length, regions: intent.regions.length},
}];

/** Finds the accepted version of an earlier run with the same change id; searches the latest 1000 versions. */
const findEarlierRun = async (context: CommandContext, changeId: string | undefined): Promise<Result<Head | undefined, CommandFailure>> => {
	if (changeId === undefined) {
		return ok(undefined);
	}

	const history = await readHistory(context.platform, historyLimit);
	return history.isOk()
		? ok(history.value.find(head => head.changeId === changeId))
		: createPlatformFailure(context, history.error);
};

const acceptChange = async (context: CommandContext, {base, intent}: Change, options: ChangeOptions): Promise<Result<AcceptedChange, CommandFailure>> => {
	const changes = base === undefined ? listInitialChanges(intent) : diffIntent(base.intent, intent);
	const expectedVersion = options.expect ?? base?.version ?? 0;
	// After the table was restored from a backup, even an unchanged intent needs a version above the minimum.
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

	// Entries that received the offer propagate the change even if the platform fails at this point.
	const offer = createOffer(acceptance.value);
	await Promise.all(context.settings.entries.adminAddresses.map(async address => sendOffer(address, offer)));
	return ok({version: acceptance.value.head.version, changeId, changes});
};

const describeInForce = (context: CommandContext, {instances, lagging, seconds, unanswered, version}: InForceReport): string => {
	const summary = `version ${version} is in force at ${instances.length - lagging.length} of ${instances.length} instances after ${seconds.toFixed(1)} s`;
	const rows = lagging.map(({id, availabilityZone, version: laggingVersion}) => [id, availabilityZone, laggingVersion === undefined ? 'not reported' : String(laggingVersion)]);
	const table = rows.length === 0 ? [] : [formatTable(['LAGGING', 'ZONE', 'VERSION'], rows, context.palette)];
	return [summary, ...table, ...unanswered.map(error => `no answer from ${error}`)].join('\n');
};

const reportAcceptedChange = async (context: CommandContext, accepted: AcceptedChange, {wait, timeout}: ChangeOptions): Promise<CommandOutcome> => {
	const {version, changeId, changes} = accepted;
	const text = [...formatChanges(changes, context.palette), `version ${version} is accepted (change ${changeId})`].join('\n');
	if (!wait) {
		return ok({text, data: accepted});
	}

	const inForce = await awaitInForce(context, version, timeout);
	if (inForce.isErr()) {
		return err({...inForce.error, message: `accepted as version ${version}, but its progress could not be followed: ${inForce.error.message}`, data: accepted});
	}

	const isComplete = inForce.value.instances.length > 0 && inForce.value.lagging.length === 0;
	const description = describeInForce(context, inForce.value);
	const data = {...accepted, inForce: inForce.value};
	return isComplete
		? ok({text: `${text}\n${description}`, data})
		: createFailure(
			'lagging',
			`accepted as version ${version}, but not in force at all instances within ${timeout} s; the change stays accepted, see the lagging instances below`,
			description.split('\n'),
			data,
		);
};

const submit = async (context: CommandContext, change: Change, options: ChangeOptions): Promise<CommandOutcome> => {
	const checkResult = checkIntent(change.intent);
	if (checkResult.isErr()) {
		const details = checkResult.error.map(problem => formatIntentProblem(problem));
		return createFailure('invalidInput', 'the change would make the intent invalid, see the problems below; nothing was changed', details, checkResult.error);
	}

	if (options.dryRun) {
		const changes = change.base === undefined ? listInitialChanges(change.intent) : diffIntent(change.base.intent, change.intent);
		return ok({text: [...formatChanges(changes, context.palette), 'dry run: nothing was changed'].join('\n'), data: {changes}});
	}

	const accepted = await acceptChange(context, change, options);
	return accepted.isOk() ? reportAcceptedChange(context, accepted.value, options) : err(accepted.error);
};

/**
 * Submits a change. If the history has a version with the same change id, reports that version instead.
 *
 * @param context - Context of the command.
 * @param options - Options of the change.
 * @param createChange - Creates the change to submit.
 * @returns The outcome of the command.
 */
export const submitChange = async (context: CommandContext, options: ChangeOptions, createChange: CreateChange): Promise<CommandOutcome> => {
	const earlier = await findEarlierRun(context, options.changeId);
	if (earlier.isErr()) {
		return err(earlier.error);
	}

	if (earlier.value !== undefined) {
		return reportAcceptedChange(context, {version: earlier.value.version, changeId: earlier.value.changeId, changes: []}, options);
	}

	const change = await createChange();
	return change.isOk() ? submit(context, change.value, options) : err(change.error);
};
