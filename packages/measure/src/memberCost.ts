/**
 * Measures processor time and heap of one member's heartbeats with a given number of peers. Uses
 * the member's own modules, but no network.
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

/** Processor time and heap of one member's heartbeats. */
export type MemberCost = {
	/** Processor time for one second of heartbeats, in milliseconds. */
	readonly cpuMsPerSecond: number;
	/** Heap of the member table with the records of all peers, in bytes. */
	readonly heapBytes: number;
};

const heartbeatRounds = 2000;
/** Number of tables whose heap is averaged; one table is too small to measure next to the heap of the runtime. */
const tableCopies = 20;
const roundMs = 1000;
const pollersPerZone = 2;
const allPollThreshold = 16;
const microsecondsPerMillisecond = 1000;
const probesBeforeSuspicion = 3;

/**
 * Measures a member with a full member table. In each round it sends its probes, receives a probe
 * that it replies to and receives a reply; each message is encoded and decoded as on the network.
 *
 * @param peers - Number of peers.
 * @param random - Chooses the senders of the received messages.
 * @returns The cost of the member.
 */
export const measureMember = (peers: number, random: Random): MemberCost => {
	const clock = createManualClock();
	const [own, ...others] = createMembers(peers + 1);
	const self = createSelfAnnouncement({
		identity: own!, firstIncarnation: 1, clock: clock.now, log: silentLogger,
	});
	const createFilledTable = () => {
		const newTable = createMemberTable(clock.now);
		for (const {load: _, ...member} of structuredClone(others)) {
			newTable.merge({...member, sequence: 1});
		}

		return newTable;
	};

	const table = createFilledTable();
	const heapBefore = heapInUse();
	const copies = Array.from({length: tableCopies}, () => createFilledTable());
	const heapBytes = (heapInUse() - heapBefore) / copies.length;
	const view = createMemberView(self, table, clock.now);
	const exchange = createHeartbeatExchange({
		self,
		table,
		clock: clock.now,
		random,
		suspectAfterProbes: probesBeforeSuspicion,
		isPlatformReachable: () => true,
		send(_, heartbeat) {
			encodeHeartbeat(heartbeat);
		},
		onUnknown: () => undefined,
		onAnswer: () => undefined,
		onMerged: () => undefined,
		onSuperseded: () => undefined,
	});

	const receiveHeartbeat = (kind: HeartbeatKind, sequence: number) => {
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
	for (let round = 1; round <= heartbeatRounds; round++) {
		clock.advance(roundMs);
		exchange.round([]);
		receiveHeartbeat('probe', round + 1);
		receiveHeartbeat('reply', round + 1);
		selectPollers({members: view.members(), pollersPerZone, allPollThreshold});
	}

	const {user, system} = process.cpuUsage(before);
	return {cpuMsPerSecond: (user + system) / microsecondsPerMillisecond / heartbeatRounds, heapBytes};
};
