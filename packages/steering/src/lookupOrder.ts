/**
 * Selects and orders the entries that a caller is sent to.
 */
import type {Drain, Intent} from '@filbertwell/types/intent';
import type {Member} from '@filbertwell/types/member';
import {rendezvousOrder} from '@filbertwell/utils/hash';

/** Usable entries of one site. */
export type SiteEntries = {
	readonly site: string;
	readonly region: string;
	readonly availabilityZone: string;
	readonly byId: ReadonlyMap<string, Member>;
};

/** Whether a drain removes an entry from look-ups. A capped drain of a zone or region keeps its entries, which move the traffic themselves. */
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
 * Selects the entries that callers can be sent to, so that an answer has an entry as long as one
 * serves: alive entries without a drain, else drained ones, else suspect ones, else leaving ones.
 *
 * @param members - All members.
 * @param drains - Drains in force.
 * @returns The first of these groups that is not empty; empty if all are.
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
 * @returns Entries by the name of their site.
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

/** Distance from an origin: 0 in its availability zone or without an origin, 1 in its region, 2 elsewhere. */
const distance = (site: SiteEntries, from: SiteEntries | undefined): number => {
	if (from === undefined || site.availabilityZone === from.availabilityZone) {
		return 0;
	}

	return site.region === from.region ? 1 : 2;
};

/** Finds the availability zone and region of a site, even if none of its entries is usable; `undefined` if the intent has no such site. */
const locateSite = (site: string | undefined, {sites, regions}: Intent): SiteEntries | undefined => {
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
 * Orders sites for a preference: the preferred ones, then the others by their distance from the
 * first preferred one. The others are omitted if at least two preferred sites fill an answer.
 *
 * @param preferred - Site names, best first.
 * @param groups - Sites with usable entries, by name.
 * @param intent - Zones and regions of the sites, and the number of addresses in an answer.
 * @returns Sites with at least one usable entry.
 */
export const orderSites = (preferred: readonly string[], groups: ReadonlyMap<string, SiteEntries>, intent: Intent): readonly SiteEntries[] => {
	const named = preferred.flatMap(name => groups.get(name) ?? []);
	if (named.length > 1 && countEntries(named) >= intent.lookups.addresses) {
		return named;
	}

	const origin = locateSite(preferred[0], intent) ?? named[0];
	const others = [...groups.values()]
		.filter(({site}) => !preferred.includes(site))
		.toSorted((a, b) => distance(a, origin) - distance(b, origin) || (a.site < b.site ? -1 : 1));
	return [...named, ...others];
};

/**
 * Chooses the entries of an answer. All but the last come from the best site and the last from the
 * next site, so that the answer remains usable if the best site fails.
 *
 * @param sites - Ordered sites.
 * @param key - Key of the rendezvous hash that spreads callers over the entries of a site; equal keys get equal answers.
 * @param count - Number of entries requested.
 * @returns Entries, best first; fewer than `count` only if there are no more.
 */
export const chooseEntries = (sites: readonly SiteEntries[], key: string, count: number): readonly Member[] => {
	const chosen: Member[] = [];
	for (const [index, {byId}] of sites.entries()) {
		const isBest = index === 0 && sites.length > 1 && count > 1;
		const needed = (isBest ? count - 1 : count) - chosen.length;
		if (needed <= 0) {
			break;
		}

		const order = rendezvousOrder(key, [...byId.keys()]);
		chosen.push(...order.slice(0, needed).map(id => byId.get(id)!));
	}

	return chosen;
};
