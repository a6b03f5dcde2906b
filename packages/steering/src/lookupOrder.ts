/**
 * Which entries a caller is sent to, in order.
 */
import type {Drain, Intent} from '@filbertwell/types/intent';
import type {Member} from '@filbertwell/types/member';
import {rendezvousOrder} from '@filbertwell/utils/hash';

/** Entries of one site that may be sent callers. */
export type SiteEntries = {
	readonly site: string;
	readonly region: string;
	readonly availabilityZone: string;
	readonly byId: ReadonlyMap<string, Member>;
};

/** Whether a drain takes an entry out of look-ups. Under a capped drain of a place its entries stay, and move the traffic themselves. */
const drainsEntry = ({target, name, pace}: Drain, member: Member): boolean => {
	switch (target) {
		case 'entry': {
			return member.id === name;
		}

		case 'availabilityZone': {
			return pace === 'immediate' && member.availabilityZone === name;
		}

		case 'region': {
			return pace === 'immediate' && member.region === name;
		}

		case 'endpoint': {
			return false;
		}
	}
};

const isDrained = (member: Member, drains: readonly Drain[]): boolean => drains.some(drain => drainsEntry(drain, member));

/**
 * Chooses the entries that may be sent callers. As long as one serves there is one: where all
 * are drained, drained ones are used, then silent ones, then leaving ones.
 *
 * @param members - All members.
 * @param drains - Drains in force.
 * @returns The entries of the best kind that is not empty.
 */
export const usableEntries = (members: readonly Member[], drains: readonly Drain[]): readonly Member[] => {
	const entries = members.filter(({role}) => role === 'entry');
	const serving = entries.filter(({state}) => state === 'serving');
	const alive = serving.filter(({health}) => health === 'alive');
	const choices = [
		alive.filter(member => !isDrained(member, drains)),
		alive,
		serving,
		entries.filter(({state}) => state === 'leaving'),
	];
	return choices.find(choice => choice.length > 0) ?? [];
};

/**
 * Groups entries by site.
 *
 * @param entries - Usable entries.
 * @returns The sites by name.
 */
export const groupBySite = (entries: readonly Member[]): ReadonlyMap<string, SiteEntries> => {
	const groups = new Map<string, SiteEntries & {readonly byId: Map<string, Member>}>();
	for (const entry of entries) {
		const group = groups.get(entry.site) ?? {
			site: entry.site, region: entry.region, availabilityZone: entry.availabilityZone, byId: new Map<string, Member>(),
		};
		group.byId.set(entry.id, entry);
		groups.set(entry.site, group);
	}

	return groups;
};

/** Distance from the preferred place; sites of its availability zone first, then of its region. */
const distance = (site: SiteEntries, from: SiteEntries | undefined): number => {
	if (from === undefined || site.availabilityZone === from.availabilityZone) {
		return 0;
	}

	return site.region === from.region ? 1 : 2;
};

/** Where a site lies, found even if no entry of it is usable. */
const placeOf = (site: string | undefined, {sites, regions}: Intent): SiteEntries | undefined => {
	const found = sites.find(({name}) => name === site);
	const region = regions.find(({availabilityZones}) => found !== undefined && availabilityZones.includes(found.availabilityZone));
	return found === undefined || region === undefined
		? undefined
		: {
			site: found.name, availabilityZone: found.availabilityZone, region: region.name, byId: new Map<string, Member>(),
		};
};

const countEntries = (sites: readonly SiteEntries[]): number => {
	let count = 0;
	for (const {byId} of sites) {
		count += byId.size;
	}

	return count;
};

/**
 * Orders sites for a preference: those that it names, then the others by their distance from the
 * first named. The others are left out where two named sites fill an answer.
 *
 * @param preferred - Names of sites, best first.
 * @param groups - Sites with usable entries.
 * @param intent - Places of the sites, and the number of addresses in an answer.
 * @returns Sites with at least one usable entry.
 */
export const orderSites = (preferred: readonly string[], groups: ReadonlyMap<string, SiteEntries>, intent: Intent): readonly SiteEntries[] => {
	const named = preferred.flatMap(name => groups.get(name) ?? []);
	if (named.length > 1 && countEntries(named) >= intent.lookups.addresses) {
		return named;
	}

	const origin = placeOf(preferred[0], intent) ?? named[0];
	const others = [...groups.values()]
		.filter(({site}) => !preferred.includes(site))
		.toSorted((a, b) => distance(a, origin) - distance(b, origin) || (a.site < b.site ? -1 : 1));
	return [...named, ...others];
};

/**
 * Chooses entries for one block: most from the best site, the last one from the next site, so
 * that an answer outlives its site.
 *
 * @param sites - Ordered sites.
 * @param key - What spreads callers over the entries of a site; equal keys get equal answers.
 * @param count - Number of entries wanted.
 * @returns Entries, best first; fewer than wanted only if there are no more.
 */
export const chooseEntries = (sites: readonly SiteEntries[], key: string, count: number): readonly Member[] => {
	const chosen: Member[] = [];
	for (const [index, {byId}] of sites.entries()) {
		const isBest = index === 0 && sites.length > 1 && count > 1;
		const wanted = (isBest ? count - 1 : count) - chosen.length;
		if (wanted <= 0) {
			break;
		}

		const order = rendezvousOrder(key, [...byId.keys()]);
		chosen.push(...order.slice(0, wanted).map(id => byId.get(id)!));
	}

	return chosen;
};
