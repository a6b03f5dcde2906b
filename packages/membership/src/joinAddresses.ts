/**
 * Selects addresses of processes that are not known members, through which this process may join.
 */
import type {ListedInstance} from '@filbertwell/platform/instanceList';
import type {SocketAddress} from '@filbertwell/types/place';
import type {MemberTable} from './memberTable.js';
import type {SelfAnnouncement} from './selfAnnouncement.js';

/** Selects the addresses to probe in addition to the members. */
export type JoinAddresses = {
	/** Sets the platform's instance list; its upstreams are ignored. */
	readonly setListed: (instances: readonly ListedInstance[]) => void;
	/** Returns the addresses to probe in a round: several while no member is alive, otherwise one every few rounds. */
	readonly next: (round: number) => readonly SocketAddress[];
};

/** Sources of the addresses. */
export type JoinAddressesOptions = {
	readonly seeds: readonly SocketAddress[];
	readonly self: SelfAnnouncement;
	readonly table: MemberTable;
};

const addressesPerIsolatedRound = 3;
const roundsBetweenAddresses = 10;

const addressKey = ({host, port}: SocketAddress): string => `${host} ${port}`;

/**
 * Creates a selector of join addresses.
 *
 * @param options - Seeds, own announcement and member table.
 * @returns Selector that cycles through the seeds, the listed instances and the removed members.
 */
export const createJoinAddresses = ({seeds, self, table}: JoinAddressesOptions): JoinAddresses => {
	let listed: readonly SocketAddress[] = [];
	let nextIndex = 0;

	const candidates = (): SocketAddress[] => {
		const used = new Set([...table.known().values()].map(({member}) => addressKey(member.peerAddress)));
		used.add(addressKey(self.member().peerAddress));
		const byKey = new Map<string, SocketAddress>();
		for (const address of [...seeds, ...listed, ...table.removed().map(({peerAddress}) => peerAddress)]) {
			byKey.set(addressKey(address), address);
		}

		return [...byKey.entries()].filter(([key]) => !used.has(key)).map(([, address]) => address);
	};

	const hasNoAliveMember = () => [...table.known().values()].every(({member}) => member.health === 'suspect');

	return {
		setListed(instances) {
			listed = instances
				.filter(({kind}) => kind !== 'upstream')
				.map(({host, port}) => ({host, port}));
		},
		next(round) {
			const isIsolated = hasNoAliveMember();
			if (!isIsolated && round % roundsBetweenAddresses !== 0) {
				return [];
			}

			const all = candidates();
			const size = Math.min(all.length, isIsolated ? addressesPerIsolatedRound : 1);
			const chosen = Array.from({length: size}, (_, index) => all[(nextIndex + index) % all.length]!);
			nextIndex += size;
			return chosen;
		},
	};
};
