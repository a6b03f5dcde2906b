/**
 * Processor time and heap of one member's heartbeats with a given number of peers, on its real
 * modules with nothing on the wire.
 */
import process from 'node:process';
import {selectPollers} from '@filbertwell/configuration/selectPollers';
import {silentLogger} from '@filbertwell/logger/logger';
import {createHeartbeatExchange} from '@filbertwell/membership/heartbeatExchange';
import {createMemberTable} from '@filbertwell/membership/memberTable';
import {createMemberView} from '@filbertwell/membership/memberView';
import {createSelfAnnouncement} from '@filbertwell/membership/selfAnnouncement';
import type {HeartbeatKind} from '@filbertwell/peer-protocol/heartbeat';
import {decodeHeartbeat, encodeHeartbeat} from '@filbertwell/peer-protocol/datagram';
import {createManualClock} from '@filbertwell/utils/clock';
import type {Random} from '@filbertwell/utils/random';
import {heapInUse} from './heapInUse.js';
import {createMembers} from './targetShape.js';

/** Cost of one member. */
export type MemberCost = {
	/** Processor time of a second of heartbeats, in milliseconds. */
	readonly cpuMsPerSecond: number;
	/** Heap that the peers' records take, in bytes. */
	readonly heapBytes: number;
};

const rounds = 2000;
/** The heap of one table would be lost in that of the runtime. */
const heapCopies = 20;
const roundMs = 1000;
const pollersPerZone = 2;
const allPollUpTo = 16;
const microsecondsPerMillisecond = 1000;
const silentAfterProbes = 3;

/**
 * Measures a member that knows some peers: in each round it sends its probe and reply, and hears a
 * probe and a reply, each checked as from the wire.
 *
 * @param peers - Number of peers.
 * @param random - Chooses who is heard.
 * @returns Its cost.
 */
export const measureMember = (peers: number, random: Random): MemberCost => {
	const clock = createManualClock();
	const [own, ...others] = createMembers(peers + 1);
	const self = createSelfAnnouncement({
		identity: own!, firstIncarnation: 1, clock: clock.now, log: silentLogger,
	});
	const createFilledTable = () => {
		const filled = createMemberTable(clock.now);
		for (const {load: _, ...member} of structuredClone(others)) {
			filled.merge({...member, sequence: 1});
		}

		return filled;
	};

	const table = createFilledTable();
	const heapBefore = heapInUse();
	const copies = Array.from({length: heapCopies}, () => createFilledTable());
	const heapBytes = (heapInUse() - heapBefore) / copies.length;
	const view = createMemberView(self, table, clock.now);
	const exchange = createHeartbeatExchange({
		self,
		table,
		clock: clock.now,
		random,
		suspectAfterProbes: silentAfterProbes,
		send(_, heartbeat) {
			encodeHeartbeat(heartbeat);
		},
		onUnknown: () => undefined,
		onAnswer: () => undefined,
		onMerged: () => undefined,
		onSuperseded: () => undefined,
	});

	const hear = (kind: HeartbeatKind, sequence: number) => {
		const sender = others[Math.floor(random() * others.length)]!;
		const {id, incarnation, state, health, configurationVersion, load} = sender;
		const datagram = encodeHeartbeat({
			kind,
			sender: {
				id, incarnation, sequence, state, health, configurationVersion, load,
			},
		})._unsafeUnwrap();
		exchange.receive({from: sender.peerAddress, heartbeat: decodeHeartbeat(datagram)._unsafeUnwrap()});
	};

	const before = process.cpuUsage();
	for (let round = 1; round <= rounds; round++) {
		clock.advance(roundMs);
		exchange.round([]);
		hear('probe', round + 1);
		hear('reply', round + 1);
		selectPollers({members: view.members(), pollersPerZone, allPollThreshold: allPollUpTo});
	}

	const {user, system} = process.cpuUsage(before);
	return {cpuMsPerSecond: (user + system) / microsecondsPerMillisecond / rounds, heapBytes};
};
