/**
 * Answers look-ups: from a caller's address to ordered entries with a lifetime.
 */
import type {Configuration} from '@filbertwell/types/configuration';
import type {Intent} from '@filbertwell/types/intent';
import type {LookupAnswer} from '@filbertwell/types/lookupAnswer';
import type {Member} from '@filbertwell/types/member';
import {monotonicClock, type Clock} from '@filbertwell/utils/clock';
import {err, ok, type Result} from 'neverthrow';
import {buildBlockTable, type BlockTable} from './blockTable.js';
import {
	formatPrefix, maskWords, parseAddress, type AddressWords,
} from './lookupAddress.js';
import type {LookupError} from './lookupError.js';
import {
	chooseEntries, groupBySite, orderSites, usableEntries, type SiteEntries,
} from './lookupOrder.js';
import {runInSlices} from './lookupSlices.js';

/** Size of the look-up tables. */
export type LookupSize = {
	readonly blocks: number;
	/** Memory of the block table, in bytes. */
	readonly tableBytes: number;
};

/** Answers look-ups with the configuration in force. */
export type Lookup = {
	readonly answer: (service: string, address: string) => Result<LookupAnswer, LookupError>;
	/** Puts a configuration in force; until its tables are built, the earlier one answers. */
	readonly update: (configuration: Configuration) => Promise<void>;
	readonly size: () => LookupSize;
};

/** Parameters of the look-ups. */
export type LookupOptions = {
	readonly members: () => readonly Member[];
	readonly clock?: Clock;
};

type Tables = {
	readonly configuration: Configuration;
	readonly blocks: BlockTable;
	readonly services: ReadonlySet<string>;
	readonly preferences: ReadonlyMap<string, readonly string[]>;
};

const sliceMs = 2;
/** Callers outside all blocks are spread by the network that they are likely to share. */
const unmatchedLengths = {ipv4: 24, ipv6: 48};

const createTables = (configuration: Configuration, blocks: BlockTable): Tables => {
	const {intent} = configuration;
	return {
		configuration,
		blocks,
		services: new Set(intent.services.map(({name}) => name)),
		preferences: new Map(intent.sitePreferences.map(({name, sites}) => [name, sites])),
	};
};

const isSameToCallers = (a: Member, b: Member): boolean => a === b || (
	a.id === b.id && a.state === b.state && a.health === b.health
	&& a.site === b.site && a.incarnation === b.incarnation
	&& a.callerAddress.host === b.callerAddress.host && a.callerAddress.port === b.callerAddress.port
);

const areSameToCallers = (a: readonly Member[], b: readonly Member[]): boolean => a.length === b.length
	&& a.every((member, index) => isSameToCallers(member, b[index]!));

/** Keeps the ordered sites of each preference until members or configuration change. */
const createSiteOrders = (members: () => readonly Member[]) => {
	const orders = new Map<string, readonly SiteEntries[]>();
	let seen: readonly Member[] = [];
	let groups: ReadonlyMap<string, SiteEntries> = new Map();
	let seenIntent: Intent | undefined;

	const refresh = (intent: Intent) => {
		const current = members();
		const isSame = seenIntent === intent && (current === seen || areSameToCallers(current, seen));
		seen = current;
		if (!isSame) {
			seenIntent = intent;
			groups = groupBySite(usableEntries(current, intent.drains));
			orders.clear();
		}
	};

	return (preference: string, {configuration, preferences}: Tables): readonly SiteEntries[] => {
		refresh(configuration.intent);
		const kept = orders.get(preference);
		if (kept !== undefined) {
			return kept;
		}

		const order = orderSites(preferences.get(preference) ?? [], groups, configuration.intent);
		orders.set(preference, order);
		return order;
	};
};

const unmatchedKey = ({family, words}: AddressWords): string => {
	const length = unmatchedLengths[family];
	return formatPrefix({words: maskWords(words, length), length});
};

/**
 * Creates the look-ups.
 *
 * @param options - The members.
 * @returns Look-ups that answer `noConfiguration` until the first update is built.
 */
export const createLookup = ({members, clock = monotonicClock}: LookupOptions): Lookup => {
	const siteOrders = createSiteOrders(members);
	let tables: Tables | undefined;
	let building: AbortController | undefined;

	const answerFrom = (current: Tables, service: string, address: AddressWords): Result<LookupAnswer, LookupError> => {
		const {intent, version} = current.configuration;
		const block = current.blocks.locate(address);
		const sites = siteOrders(block?.preference ?? intent.lookups.defaultPreference, current);
		const entries = chooseEntries(sites, block?.prefix ?? unmatchedKey(address), intent.lookups.addresses);
		return entries.length === 0
			? err({kind: 'noEntry', message: 'no entry is known; wait until one serves'})
			: ok({
				service,
				block: block?.prefix,
				addresses: entries.map(({id, callerAddress, availabilityZone}) => ({entry: id, ...callerAddress, availabilityZone})),
				lifetimeSeconds: intent.lookups.lifetimeSeconds,
				configurationVersion: version,
			});
	};

	return {
		answer(service, address) {
			if (tables === undefined) {
				return err({kind: 'noConfiguration', message: 'no configuration is in force yet; ask again later'});
			}

			const current = tables;
			if (!current.services.has(service)) {
				return err({kind: 'unknownService', message: `service "${service}" is not configured; configured are ${[...current.services].join(', ')}`});
			}

			return parseAddress(address)
				.mapErr((message): LookupError => ({kind: 'invalidAddress', message}))
				.andThen(words => answerFrom(current, service, words));
		},
		async update(configuration) {
			building?.abort();
			const {clientBlocks} = configuration.intent;
			if (tables?.configuration.intent.clientBlocks === clientBlocks) {
				tables = createTables(configuration, tables.blocks);
				return;
			}

			building = new AbortController();
			const work = buildBlockTable(clientBlocks, tables?.blocks.source);
			const blocks = await runInSlices(work, {clock, sliceMs, signal: building.signal});
			if (blocks !== undefined) {
				tables = createTables(configuration, blocks);
			}
		},
		size: () => ({blocks: tables?.blocks.size ?? 0, tableBytes: tables?.blocks.bytes ?? 0}),
	};
};
