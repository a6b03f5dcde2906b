/**
 * Formats the status of a deployment as text.
 */
import type {ConfigurationInForce} from '@filbertwell/types/entryState';
import type {Drain, ShiftCaps} from '@filbertwell/types/intent';
import type {Member} from '@filbertwell/types/member';
import {formatDrainTarget} from './drainTarget.js';
import {formatTable, type Palette} from './formatTable.js';
import type {ShiftSummary, ZoneMove} from './shiftSummary.js';

/** Status of a deployment, as printed with `--json`. */
export type DeploymentStatus = {
	/** The accepted configuration; `undefined` if there is none or the platform is unreachable. */
	readonly accepted: ConfigurationInForce | undefined;
	/** Error of the platform; `undefined` if it responded. */
	readonly platformProblem: string | undefined;
	readonly members: readonly Member[];
	readonly drains: readonly Drain[];
	readonly shiftCaps: ShiftCaps | undefined;
	readonly shifts: readonly ShiftSummary[];
	/** Errors of the entries that did not respond, one line each. */
	readonly unanswered: readonly string[];
};

/** Smaller changes of a share round to 0 in a percentage with one decimal. */
const minimumVisibleChange = 0.0005;

const formatPercent = (share: number): string => `${(share * 100).toFixed(1)}%`;

const formatMove = ({availabilityZone, current, target}: ZoneMove): string => `${availabilityZone} ${formatPercent(current)} -> ${formatPercent(target)}`;

const formatSeconds = (seconds: number): string => Number.isFinite(seconds) ? `${Math.ceil(seconds)} s` : 'not known';

const formatHolds = ({holds}: ShiftSummary): string => {
	const active = holds.filter(({heldBy}) => heldBy !== 'none');
	return active.length === 0 ? '-' : active.map(({heldBy, entries}) => `${heldBy} (${entries} ${entries === 1 ? 'entry' : 'entries'})`).join(', ');
};

const formatMemberRow = (member: Member): string[] => [
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

const formatAcceptedVersion = ({accepted, platformProblem, members}: DeploymentStatus): string => {
	if (accepted === undefined) {
		return platformProblem === undefined ? 'no configuration is accepted yet' : `the accepted version is unknown: ${platformProblem}`;
	}

	const current = members.filter(member => member.configurationVersion >= accepted.version).length;
	return `version ${accepted.version} by ${accepted.author}, accepted ${accepted.acceptedAt}; in force at ${current} of ${members.length} instances`;
};

const formatDrains = ({drains}: DeploymentStatus, palette: Palette): string[] => drains.length === 0
	? ['no drains']
	: [formatTable(['DRAIN', 'NAME', 'PACE', 'REASON'], drains.map(drain => [formatDrainTarget(drain.target), drain.name, drain.pace, drain.reason]), palette)];

const formatShifts = ({shifts, shiftCaps}: DeploymentStatus, palette: Palette): string[] => {
	if (shifts.length === 0) {
		return ['no shifts in progress'];
	}

	const rows = shifts.map(summary => [
		summary.service,
		formatPercent(summary.remaining),
		formatHolds(summary),
		formatSeconds(summary.secondsLeft),
		summary.moves.filter(({current, target}) => Math.abs(current - target) > minimumVisibleChange).map(move => formatMove(move)).join(', '),
	]);
	const cap = shiftCaps === undefined ? [] : [`shift caps: planned ${formatPercent(shiftCaps.plannedSharePerMinute)} a minute, failover ${formatPercent(shiftCaps.failoverSharePerMinute)} a minute`];
	return [...cap, formatTable(['SHIFTING', 'LEFT', 'HELD BY', 'TIME LEFT', 'ZONES NOW -> TARGET'], rows, palette)];
};

/**
 * Formats the status of a deployment.
 *
 * @param status - The status.
 * @param palette - Colours of the output.
 * @returns The accepted version and tables of the members, drains and shifts, without a trailing newline.
 */
export const formatStatus = (status: DeploymentStatus, palette: Palette): string => [
	formatAcceptedVersion(status),
	'',
	formatTable(['INSTANCE', 'ROLE', 'ZONE', 'STATE', 'HEALTH', 'VERSION', 'REQ/S', 'IN FLIGHT', 'QUEUED'], status.members.map(member => formatMemberRow(member)), palette),
	'',
	...formatDrains(status, palette),
	'',
	...formatShifts(status, palette),
	...(status.unanswered.length === 0 ? [] : ['', 'no answer from:', ...status.unanswered]),
].join('\n');
