/**
 * Heartbeats, the small messages that members exchange in single datagrams.
 */
import * as z from 'zod';
import {memberBeatSchema, memberRecordSchema, type MemberBeat} from './memberRecord.js';

const maximumItems = 16;

/** Schema of a heartbeat, with a limit on the length of its lists. */
export const heartbeatSchema = z.object({
	kind: z.enum(['probe', 'reply', 'news']),
	sender: memberBeatSchema,
	records: z.array(memberRecordSchema).max(maximumItems).readonly().optional(),
	beats: z.array(memberBeatSchema).max(maximumItems).readonly().optional(),
	unheard: z.array(z.string()).max(maximumItems).readonly().optional(),
}).readonly();

/**
 * Purpose of a heartbeat. A `probe` requests a `reply`, which shows that messages pass in both
 * directions. `news` carries a change immediately and gets no reply.
 */
export type HeartbeatKind = 'probe' | 'reply' | 'news';

/** Heartbeat as it is transmitted; an absent list is empty. */
export type Heartbeat = {
	readonly kind: HeartbeatKind;
	readonly sender: MemberBeat;
	/** Full records of members that the receiver may not know. */
	readonly records?: z.infer<typeof heartbeatSchema>['records'];
	/** Beats of other members: changed ones, requested ones and a sample of the rest. */
	readonly beats?: readonly MemberBeat[];
	/** Ids of members that do not reply to the sender; the receiver replies with their beats and probes them. */
	readonly unheard?: readonly string[];
};
