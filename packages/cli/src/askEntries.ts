/**
 * Asks the entries that the settings name.
 */
import type {EntryState} from '@filbertwell/types/entryState';
import type {Member} from '@filbertwell/types/member';
import type {SocketAddress} from '@filbertwell/types/place';
import {
	err, ok, type Result,
} from 'neverthrow';
import {fetchState, type AdminError} from './adminClient.js';
import type {CommandContext} from './commandContext.js';
import {failed, type CommandFailure} from './commandFailure.js';

/** States of the entries that answered, and the errors of those that did not. */
export type EntryAnswers = {
	readonly states: readonly EntryState[];
	readonly errors: readonly AdminError[];
};

/** Formats why an entry gave no usable answer. */
export const formatAdminError = ({address, detail}: AdminError): string => `${address}: ${detail}`;

/**
 * Reads the admin addresses from the settings.
 *
 * @param context - Context of the command.
 * @returns At least one address, or what to set.
 */
export const adminAddresses = ({settings}: CommandContext): Result<readonly SocketAddress[], CommandFailure> => settings.entries.adminAddresses.length > 0
	? ok(settings.entries.adminAddresses)
	: failed('invalidInput', '[entries] adminAddresses is empty in the settings; set it to the admin host:port of some entries, separated by commas');

/**
 * Asks all entries that the settings name for their states.
 *
 * @param addresses - Admin addresses.
 * @returns The answers.
 */
export const askAll = async (addresses: readonly SocketAddress[]): Promise<EntryAnswers> => {
	const results = await Promise.all(addresses.map(async address => fetchState(address)));
	return {
		states: results.flatMap(result => result.isOk() ? [result.value] : []),
		errors: results.flatMap(result => result.isErr() ? [result.error] : []),
	};
};

/**
 * Asks entries one after another until one answers.
 *
 * @param addresses - Admin addresses.
 * @param ask - Asks one entry.
 * @returns The first answer, or why none answered.
 */
export const askAny = async <Value>(addresses: readonly SocketAddress[], ask: (address: SocketAddress) => Promise<Result<Value, AdminError>>): Promise<Result<Value, CommandFailure>> => {
	const errors: AdminError[] = [];
	for (const address of addresses) {
		const answer = await ask(address); // eslint-disable-line no-await-in-loop
		if (answer.isOk()) {
			return ok(answer.value);
		}

		errors.push(answer.error);
	}

	return err({
		kind: 'unreachable',
		message: 'no entry gave a usable answer; check [entries] adminAddresses in the settings and that the entries run',
		details: errors.map(error => formatAdminError(error)),
		data: errors,
	});
};

/**
 * Joins what several entries know of the members: what a process says of itself goes first,
 * then the highest incarnation, then the highest version.
 *
 * @param states - States of some entries.
 * @returns Members ordered by id.
 */
export const joinMembers = (states: readonly EntryState[]): Member[] => {
	const members = new Map<string, Member>();
	for (const member of states.flatMap(state => state.members)) {
		const known = members.get(member.id);
		const isNewer = known === undefined
			|| member.incarnation > known.incarnation
			|| (member.incarnation === known.incarnation && member.configurationVersion > known.configurationVersion);
		if (isNewer) {
			members.set(member.id, member);
		}
	}

	for (const {self} of states) {
		const known = members.get(self.id);
		if (known === undefined || known.incarnation <= self.incarnation) {
			members.set(self.id, self);
		}
	}

	return [...members.values()].toSorted((a, b) => a.id < b.id ? -1 : 1);
};
