/**
 * Status of a deployment as text for people.
 */
import type {ConfigurationInForce} from '@filbertwell/types/entryState';
import type {Drain, ShiftCaps} from '@filbertwell/types/intent';
import type {Member} from '@filbertwell/types/member';
import {wordOfTarget} from './drainTarget.js';
import {formatTable, type Palette} from './formatTable.js';
import type {ShiftSummary, ZoneMove} from './shiftSummary.js';

/** Status of a deployment. */
export type DeploymentStatus = {
	/** The accepted configuration; `undefined` where there is none or the platform can't be asked. */
	readonly accepted: ConfigurationInForce | undefined;
	/** Why the platform could not be asked. */
	readonly platformProblem: string | undefined;
	readonly members: readonly Member[];
	readonly drains: readonly Drain[];
	readonly shiftCaps: ShiftCaps | undefined;
	readonly shifts: readonly ShiftSummary[];
	/** Entries that gave no answer, and why. */
	readonly unanswered: readonly string[];
};

const visibleMove = 0.0005;

const percent = (share: number): string => `${(share * 100).toFixed(1)}%`;

const formatMove = ({availabilityZone, current, target}: ZoneMove): string => `${availabilityZone} ${percent(current)} -> ${percent(target)}`;

const formatSeconds = (seconds: number): string => Number.isFinite(seconds) ? `${Math.ceil(seconds)} s` : 'not known';

const formatHolds = ({holds}: ShiftSummary): string => {
	const active = holds.filter(({heldBy}) => heldBy !== 'none');
	return active.length === 0 ? '-' : active.map(({heldBy, entries}) => `${heldBy} (${entries} ${entries === 1 ? 'entry' : 'entries'})`).join(', ');
};

const memberRow = (member: Member): string[] => [
	member.id,
	member.role,
	member.availabilityZone,
	member.state,
	member.health,
	String(member.configurationVersion),
	String(Math.round(member.load.requestsPerSecond)),
	String(member.load.inFlight),
	String(member.load.queued),
];

const acceptedLine = ({accepted, platformProblem, members}: DeploymentStatus): string => {
	if (accepted === undefined) {
		return platformProblem === undefined ? 'no configuration is accepted yet' : `the accepted version is not known: ${platformProblem}`;
	}

	const current = members.filter(member => member.configurationVersion >= accepted.version).length;
	return `version ${accepted.version} by ${accepted.author}, accepted ${accepted.acceptedAt}; in force at ${current} of ${members.length} instances`;
};

const drainLines = ({drains}: DeploymentStatus, palette: Palette): string[] => drains.length === 0
	? ['no drains']
	: [formatTable(['DRAIN', 'NAME', 'PACE', 'REASON'], drains.map(drain => [wordOfTarget(drain.target), drain.name, drain.pace, drain.reason]), palette)];

const shiftLines = ({shifts, shiftCaps}: DeploymentStatus, palette: Palette): string[] => {
	if (shifts.length === 0) {
		return ['no shifts in progress'];
	}

	const rows = shifts.map(summary => [
		summary.service,
		percent(summary.remaining),
		formatHolds(summary),
		formatSeconds(summary.secondsLeft),
		summary.moves.filter(({current, target}) => Math.abs(current - target) > visibleMove).map(move => formatMove(move)).join(', '),
	]);
	const cap = shiftCaps === undefined ? [] : [`shift caps: planned ${percent(shiftCaps.plannedSharePerMinute)} a minute, failover ${percent(shiftCaps.failoverSharePerMinute)} a minute`];
	return [...cap, formatTable(['SHIFTING', 'LEFT', 'HELD BY', 'TIME LEFT', 'ZONES NOW -> TARGET'], rows, palette)];
};

/**
 * Formats a status.
 *
 * @param status - The status.
 * @param palette - Colours.
 * @returns Text for people.
 */
export const formatStatus = (status: DeploymentStatus, palette: Palette): string => [
	acceptedLine(status),
	'',
	formatTable(['INSTANCE', 'ROLE', 'ZONE', 'STATE', 'HEALTH', 'VERSION', 'REQ/S', 'IN FLIGHT', 'QUEUED'], status.members.map(member => memberRow(member)), palette),
	'',
	...drainLines(status, palette),
	'',
	...shiftLines(status, palette),
	...(status.unanswered.length === 0 ? [] : ['', 'no answer from:', ...status.unanswered]),
].join('\n');
