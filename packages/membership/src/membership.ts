/**
 * The members of the system as this process sees them.
 */
import type {ListedInstance} from '@filbertwell/platform/instanceList';
import type {LoadSummary, Member, MemberState} from '@filbertwell/types/member';
import type {Observable} from 'rxjs';

/** Live view of the members and this process's own announcement. */
export type Membership = {
	/** This process as its peers will see it. */
	readonly self: () => Member;
	/** All members that are not known to be gone, this process included, ordered by id. */
	readonly members: () => readonly Member[];
	/**
	 * Emits the members after each change of a state or health, a join, a removal, and a configuration
	 * version higher than any seen. Other versions and loads are found in `members()`.
	 */
	readonly changes: Observable<readonly Member[]>;
	/** The platform's list, upstreams included, after each reading that succeeds. */
	readonly listed: Observable<readonly ListedInstance[]>;
	/** Emits once, the newer process, when another one was started under this id; heartbeats have then stopped. */
	readonly superseded: Observable<Member>;
	readonly announceState: (state: MemberState) => void;
	readonly announceConfiguration: (version: number) => void;
	readonly announceLoad: (load: LoadSummary) => void;
	/** Stops heartbeats and closes the channel. */
	readonly stop: () => Promise<void>;
};
