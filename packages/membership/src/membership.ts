/**
 * Interface of membership: the processes of the system as known to this process.
 */
import type {ListedInstance} from '@filbertwell/platform/instanceList';
import type {LoadSummary, Member, MemberState} from '@filbertwell/types/member';
import type {Observable} from 'rxjs';

/** Live view of the members, and announcements of this process. */
export type Membership = {
	/** This process as it announces itself to its peers. */
	readonly self: () => Member;
	/** All members that have not been removed, including this process, ordered by id. */
	readonly members: () => readonly Member[];
	/**
	 * Emits the members after each join, removal, change of state or health, and configuration version
	 * higher than all before. Other versions and loads are visible in `members()` only.
	 */
	readonly changes: Observable<readonly Member[]>;
	/** Emits the platform's instance list, including upstreams, after each successful reading. */
	readonly listed: Observable<readonly ListedInstance[]>;
	/** Emits this process's own member once when a later process uses its id; heartbeats have then stopped. */
	readonly superseded: Observable<Member>;
	/** Sets the state of this process and sends it to peers at once. */
	readonly announceState: (state: MemberState) => void;
	/** Sets the configuration version of this process and sends it to peers at once. */
	readonly announceConfiguration: (version: number) => void;
	/** Sets the load that later heartbeats of this process carry. */
	readonly announceLoad: (load: LoadSummary) => void;
	/** Stops heartbeats and closes the channel. */
	readonly stop: () => Promise<void>;
};
