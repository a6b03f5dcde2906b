/**
 * Control-plane part of the body of `GET /state`.
 */
import type {EntryState} from '@filbertwell/types/entryState';
import type {ControlPlane} from './controlPlane.js';

/**
 * Describes the members and the configuration in force from this process's point of view.
 *
 * @param control - Membership and configuration follower of the process.
 * @returns The state without `shifts`; `configuration` and `shiftCaps` are `undefined` before the first configuration.
 */
export const describeControlState = ({membership, follower}: Pick<ControlPlane, 'membership' | 'follower'>): Omit<EntryState, 'shifts'> => {
	const configuration = follower.current();
	return {
		self: membership.self(),
		members: membership.members(),
		configuration: configuration && {
			version: configuration.version,
			changeId: configuration.changeId,
			author: configuration.author,
			acceptedAt: configuration.acceptedAt,
		},
		drains: configuration?.intent.drains ?? [],
		shiftCaps: configuration?.intent.shiftCaps,
	};
};
