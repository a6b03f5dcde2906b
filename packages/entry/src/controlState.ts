/**
 * State of the control plane for `GET /state`.
 */
import type {EntryState} from '@filbertwell/types/entryState';
import type {ControlPlane} from './controlPlane.js';

/**
 * Describes members and configuration as this process sees them.
 *
 * @param control - The control plane.
 * @returns The state, without shifts.
 */
export const controlStateOf = ({membership, follower}: Pick<ControlPlane, 'membership' | 'follower'>): Omit<EntryState, 'shifts'> => {
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
