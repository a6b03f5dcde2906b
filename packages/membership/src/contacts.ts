/**
 * Addresses at which a peer may be found that is not among the members.
 */
import type {ListedInstance} from '@filbertwell/platform/instanceList';
import type {SocketAddress} from '@filbertwell/types/place';
import type {MemberTable} from './memberTable.js';
import type {SelfAnnouncement} from './selfAnnouncement.js';

/** Chooses addresses to probe besides the members. */
export type Contacts = {
	readonly setListed: (instances: readonly ListedInstance[]) => void;
	/** Addresses to probe in a round: several while no member is alive, else one now and then. */
	readonly next: (round: number) => readonly SocketAddress[];
};

/** Parameters of the choice. */
export type ContactsOptions = {
	readonly seeds: readonly SocketAddress[];
	readonly self: SelfAnnouncement;
	readonly table: MemberTable;
};

const contactsPerLonelyRound = 3;
const roundsBetweenContacts = 10;

const addressKey = ({host, port}: SocketAddress): string => `${host} ${port}`;

/**
 * Creates the choice.
 *
 * @param options - Seeds, own address and the members.
 * @returns Contacts from the seeds, the platform's list and the members that were removed, in turn.
 */
export const createContacts = ({seeds, self, table}: ContactsOptions): Contacts => {
	let listed: readonly SocketAddress[] = [];
	let turn = 0;

	const candidates = (): SocketAddress[] => {
		const used = new Set([...table.known().values()].map(({member}) => addressKey(member.peerAddress)));
		used.add(addressKey(self.member().peerAddress));
		const byKey = new Map<string, SocketAddress>();
		for (const address of [...seeds, ...listed, ...table.removed().map(({peerAddress}) => peerAddress)]) {
			byKey.set(addressKey(address), address);
		}

		return [...byKey.entries()].filter(([key]) => !used.has(key)).map(([, address]) => address);
	};

	const isLonely = () => [...table.known().values()].every(({member}) => member.health === 'suspect');

	return {
		setListed(instances) {
			listed = instances
				.filter(({kind}) => kind !== 'upstream')
				.map(({host, port}) => ({host, port}));
		},
		next(round) {
			const lonely = isLonely();
			if (!lonely && round % roundsBetweenContacts !== 0) {
				return [];
			}

			const all = candidates();
			const size = Math.min(all.length, lonely ? contactsPerLonelyRound : 1);
			const chosen = Array.from({length: size}, (_, index) => all[(turn + index) % all.length]!);
			turn += size;
			return chosen;
		},
	};
};
