/**
 * Heartbeat exchanges that are connected by an in-memory queue, from which a test can drop messages.
 */
import type {Heartbeat} from '@filbertwell/peer-protocol/heartbeat';
import {silentLogger} from '@filbertwell/logger/logger';
import type {Member} from '@filbertwell/types/member';
import type {SocketAddress} from '@filbertwell/types/place';
import {createManualClock} from '@filbertwell/utils/clock';
import {createRandom} from '@filbertwell/utils/random';
import {createHeartbeatExchange, type HeartbeatExchange} from '../heartbeatExchange.js';
import {createMemberTable, type MemberTable} from '../memberTable.js';
import {createSelfAnnouncement, type SelfAnnouncement} from '../selfAnnouncement.js';

export type TestNode = {
	readonly id: string;
	readonly self: SelfAnnouncement;
	readonly table: MemberTable;
	readonly exchange: HeartbeatExchange;
	readonly view: (id: string) => Member | undefined;
	/** Whether another process took over its id. */
	readonly isSuperseded: () => boolean;
};

type Message = {
	readonly from: string;
	readonly to: string;
	readonly heartbeat: Heartbeat;
};

export const addressOf = (id: string): SocketAddress => ({host: id, port: 1});

/** Generators with consecutive seeds make similar first choices. */
const spreadSeed = (index: number): number => (index * 2_654_435_761) % 4_294_967_296;

/**
 * Creates a network without nodes.
 *
 * @param seed - Varies the random choices of the nodes.
 */
export const createTestNetwork = (seed = 0) => {
	const clock = createManualClock();
	const nodes = new Map<string, TestNode>();
	const queue: Message[] = [];
	let isPlatformReachable = true;
	let isLost: (from: string, to: string) => boolean = () => false;

	const deliver = () => {
		for (let message = queue.shift(); message !== undefined; message = queue.shift()) {
			if (!isLost(message.from, message.to)) {
				nodes.get(message.to)?.exchange.receive({from: addressOf(message.from), heartbeat: message.heartbeat});
			}
		}
	};

	const add = (id: string, incarnation = 1): TestNode => {
		const self = createSelfAnnouncement({
			identity: {
				id,
				role: 'entry',
				region: 'south',
				availabilityZone: 'south-a',
				site: 's1',
				callerAddress: addressOf(id),
				peerAddress: addressOf(id),
			},
			firstIncarnation: incarnation,
			clock: clock.now,
			log: silentLogger,
		});
		const table = createMemberTable(clock.now);
		let superseded = false;
		const exchange = createHeartbeatExchange({
			self,
			table,
			clock: clock.now,
			random: createRandom(spreadSeed((seed * 1000) + nodes.size + 1)),
			suspectAfterProbes: 3,
			isPlatformReachable: () => isPlatformReachable,
			send(to, heartbeat) {
				queue.push({from: id, to: to.host, heartbeat});
			},
			onUnknown(ids, from) {
				const peer = nodes.get(from.host);
				for (const unknown of ids) {
					const known = peer?.table.get(unknown);
					if (known !== undefined) {
						exchange.merge({...known.member, sequence: known.sequence});
					}
				}
			},
			onAnswer(from) {
				const peer = nodes.get(from.host);
				if (peer !== undefined && table.known().size <= 1) {
					for (const {member, sequence} of peer.table.known().values()) {
						exchange.merge({...member, sequence});
					}
				}
			},
			onMerged: () => undefined,
			onSuperseded() {
				superseded = true;
			},
		});
		const node: TestNode = {
			id, self, table, exchange, isSuperseded: () => superseded, view: other => table.get(other)?.member,
		};
		nodes.set(id, node);
		return node;
	};

	return {
		clock,
		nodes,
		add,
		/** Adds nodes whose tables contain each other. */
		addAll(ids: readonly string[]): TestNode[] {
			const added = ids.map(id => add(id));
			for (const node of added) {
				for (const other of added.filter(({id}) => id !== node.id)) {
					node.exchange.merge(other.self.record());
				}
			}

			return added;
		},
		deliver,
		setLoss(predicate: typeof isLost) {
			isLost = predicate;
		},
		setPlatformReachable(isReachable: boolean) {
			isPlatformReachable = isReachable;
		},
		/** Runs rounds of one second with the nodes for which `running` returns true. */
		run(rounds: number, running: (node: TestNode) => boolean = () => true) {
			for (let round = 0; round < rounds; round++) {
				clock.advance(1000);
				for (const node of [...nodes.values()].filter(candidate => running(candidate))) {
					node.exchange.round([]);
				}

				deliver();
			}
		},
	};
};
