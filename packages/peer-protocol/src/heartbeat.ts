/**
 * Heartbeats: small messages that members send each other in single datagrams.
 */
import {z} from 'zod';
import {memberBeatSchema, memberRecordSchema, type MemberBeat} from './memberRecord.js';

const maximumItems = 16;

/** Schema of a heartbeat. */
export const heartbeatSchema = z.object({
	kind: z.enum(['probe', 'reply', 'news']),
	sender: memberBeatSchema,
	records: z.array(memberRecordSchema).max(maximumItems).readonly().optional(),
	beats: z.array(memberBeatSchema).max(maximumItems).readonly().optional(),
	unheard: z.array(z.string()).max(maximumItems).readonly().optional(),
}).readonly();

/**
 * Why a heartbeat is sent. A `probe` asks for a `reply`, which shows that both directions work.
 * `news` carries a change at once and asks for nothing.
 */
export type HeartbeatKind = 'probe' | 'reply' | 'news';

/** A heartbeat as it travels. Absent lists are empty. */
export type Heartbeat = {
	readonly kind: HeartbeatKind;
	readonly sender: MemberBeat;
	/** Full records, for members that the receiver may not know. */
	readonly records?: z.infer<typeof heartbeatSchema>['records'];
	/** A sample of what else the sender knows. */
	readonly beats?: readonly MemberBeat[];
	/** Members that do not answer the sender; the receiver tells what it knows of them. */
	readonly unheard?: readonly string[];
};
