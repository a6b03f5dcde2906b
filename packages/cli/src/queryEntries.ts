/**
 * Queries the entries whose admin addresses are in the settings, and merges their responses.
 */
import type {EntryState} from '@filbertwell/types/entryState';
import type {Member} from '@filbertwell/types/member';
import type {SocketAddress} from '@filbertwell/types/place';
import {
	err, ok, type Result,
} from 'neverthrow';
import {fetchState, type AdminError} from './adminClient.js';
import type {CommandContext} from './commandContext.js';
import {createFailure, type CommandFailure} from './commandFailure.js';

/** States of the entries that responded, and the errors of those that did not. */
export type FetchedStates = {
	readonly states: readonly EntryState[];
	readonly errors: readonly AdminError[];
};

/** Formats a failed request to an entry as one line. */
export const formatAdminError = ({address, detail}: AdminError): string => `${address}: ${detail}`;

/**
 * Returns the admin addresses from the settings.
 *
 * @param context - Context of the command.
 * @returns At least one address, or a failure that names the missing setting.
 */
export const requireAdminAddresses = ({settings}: CommandContext): Result<readonly SocketAddress[], CommandFailure> => settings.entries.adminAddresses.length > 0
	? ok(settings.entries.adminAddresses)
	: createFailure('invalidInput', '[entries] adminAddresses is empty in the settings; set it to the admin host:port of some entries, separated by commas');

/**
 * Fetches the states of several entries concurrently.
 *
 * @param addresses - Admin addresses of the entries.
 * @returns States and errors, each in the order of the addresses.
 */
export const fetchStates = async (addresses: readonly SocketAddress[]): Promise<FetchedStates> => {
	const results = await Promise.all(addresses.map(async address => fetchState(address)));
	return {
		states: results.flatMap(result => result.isOk() ? [result.value] : []),
		errors: results.flatMap(result => result.isErr() ? [result.error] : []),
	};
};

/**
 * Queries entries one after another until one responds.
 *
 * @param addresses - Admin addresses of the entries, in the order of the attempts.
 * @param fetchOne - Queries one entry.
 * @returns The first successful result, or a failure with the error of each entry.
 */
export const fetchFromAny = async <Value>(addresses: readonly SocketAddress[], fetchOne: (address: SocketAddress) => Promise<Result<Value, AdminError>>): Promise<Result<Value, CommandFailure>> => {
	const errors: AdminError[] = [];
	for (const address of addresses) {
		const answer = await fetchOne(address); // eslint-disable-line no-await-in-loop
		if (answer.isOk()) {
			return ok(answer.value);
		}

		errors.push(answer.error);
	}

	return err({
		kind: 'unreachable',
		message: 'no entry gave a usable answer; check [entries] adminAddresses in the settings and that the entries are running',
		details: errors.map(error => formatAdminError(error)),
		data: errors,
	});
};

/**
 * Merges the member lists of several entries. If they differ for a member, its own report takes precedence
 * unless another entry lists a higher incarnation; otherwise the highest incarnation, then the highest
 * configuration version is used.
 *
 * @param states - States of the entries.
 * @returns One item for each member, ordered by id.
 */
export const mergeMembers = (states: readonly EntryState[]): Member[] => {
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
