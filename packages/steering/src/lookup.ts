/**
 * Answers look-ups: maps a caller's address to an ordered list of entries with a lifetime.
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
	/** Number of client blocks. */
	readonly blocks: number;
	/** Memory used by the block table, in bytes. */
	readonly tableBytes: number;
};

/** Answers look-ups with the configuration in force. */
export type Lookup = {
	/** Returns the entries for a caller's IP address, best first, or the reason why there are none. */
	readonly answer: (service: string, address: string) => Result<LookupAnswer, LookupError>;
	/** Applies a configuration. The previous one stays in use until the tables are built; a newer update cancels the build. */
	readonly update: (configuration: Configuration) => Promise<void>;
	readonly size: () => LookupSize;
};

/** Inputs of a look-up service. */
export type LookupOptions = {
	readonly members: () => readonly Member[];
	/** Measures the time slices of a table build, in milliseconds; the monotonic clock by default. */
	readonly clock?: Clock;
};

type Tables = {
	readonly configuration: Configuration;
	readonly blocks: BlockTable;
	readonly services: ReadonlySet<string>;
	readonly preferences: ReadonlyMap<string, readonly string[]>;
};

const sliceMs = 2;
/** Callers outside all blocks are grouped by prefixes of these lengths, which are typical of a network that several callers share. */
const unmatchedPrefixLengths = {ipv4: 24, ipv6: 48};

const createTables = (configuration: Configuration, blocks: BlockTable): Tables => {
	const {intent} = configuration;
	return {
		configuration,
		blocks,
		services: new Set(intent.services.map(({name}) => name)),
		preferences: new Map(intent.sitePreferences.map(({name, sites}) => [name, sites])),
	};
};

const isEquivalentForCallers = (a: Member, b: Member): boolean => a === b || (
	a.id === b.id && a.state === b.state && a.health === b.health
	&& a.site === b.site && a.incarnation === b.incarnation
	&& a.callerAddress.host === b.callerAddress.host && a.callerAddress.port === b.callerAddress.port
);

const areEquivalentForCallers = (a: readonly Member[], b: readonly Member[]): boolean => a.length === b.length
	&& a.every((member, index) => isEquivalentForCallers(member, b[index]!));

/** Caches the site order of each preference until the members or the intent change. */
const createSiteOrderCache = (members: () => readonly Member[]) => {
	const orders = new Map<string, readonly SiteEntries[]>();
	let lastMembers: readonly Member[] = [];
	let groups: ReadonlyMap<string, SiteEntries> = new Map();
	let lastIntent: Intent | undefined;

	const refresh = (intent: Intent) => {
		const current = members();
		const isUnchanged = lastIntent === intent && (current === lastMembers || areEquivalentForCallers(current, lastMembers));
		lastMembers = current;
		if (!isUnchanged) {
			lastIntent = intent;
			groups = groupBySite(usableEntries(current, intent.drains));
			orders.clear();
		}
	};

	return (preference: string, {configuration, preferences}: Tables): readonly SiteEntries[] => {
		refresh(configuration.intent);
		const cached = orders.get(preference);
		if (cached !== undefined) {
			return cached;
		}

		const order = orderSites(preferences.get(preference) ?? [], groups, configuration.intent);
		orders.set(preference, order);
		return order;
	};
};

const unmatchedKey = ({family, words}: AddressWords): string => {
	const length = unmatchedPrefixLengths[family];
	return formatPrefix({words: maskWords(words, length), length});
};

/**
 * Creates a look-up service without a configuration.
 *
 * @param options - Members, and optionally the clock.
 * @returns The service; it answers `noConfiguration` until the first update is built.
 */
export const createLookup = ({members, clock = monotonicClock}: LookupOptions): Lookup => {
	const siteOrders = createSiteOrderCache(members);
	let tables: Tables | undefined;
	let pendingBuild: AbortController | undefined;

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
			pendingBuild?.abort();
			const {clientBlocks} = configuration.intent;
			if (tables?.configuration.intent.clientBlocks === clientBlocks) {
				tables = createTables(configuration, tables.blocks);
				return;
			}

			pendingBuild = new AbortController();
			const tableBuild = buildBlockTable(clientBlocks, tables?.blocks.source);
			const blocks = await runInSlices(tableBuild, {clock, sliceMs, signal: pendingBuild.signal});
			if (blocks !== undefined) {
				tables = createTables(configuration, blocks);
			}
		},
		size: () => ({blocks: tables?.blocks.size ?? 0, tableBytes: tables?.blocks.bytes ?? 0}),
	};
};
