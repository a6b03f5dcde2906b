/**
 * Checks of sites, preferences and client blocks.
 */
import type {Intent} from '@filbertwell/types/intent';
import ipaddr from 'ipaddr.js';
import type {IntentProblem} from '../intentProblem.js';
import {
	findDuplicates, findUnknown, place, problemAt,
} from './problemAt.js';

/**
 * Writes a CIDR prefix in its one canonical form.
 *
 * @param prefix - For instance `10.1.0.0/16` or `fd00:0:0::/48`.
 * @returns The canonical form with the host bits cleared, or `undefined` where it is not a prefix.
 */
export const canonicalPrefix = (prefix: string): string | undefined => {
	const isCidr = ipaddr.IPv4.isValidCIDRFourPartDecimal(prefix) || ipaddr.IPv6.isValidCIDR(prefix);
	if (!isCidr) {
		return undefined;
	}

	const length = Number(prefix.slice(prefix.lastIndexOf('/') + 1));
	const network = prefix.includes(':') ? ipaddr.IPv6.networkAddressFromCIDR(prefix) : ipaddr.IPv4.networkAddressFromCIDR(prefix);
	return `${network.toString()}/${length}`;
};

const checkClientBlocks = ({clientBlocks, sitePreferences}: Intent): IntentProblem[] => {
	const problems: IntentProblem[] = [];
	const wellFormed: Array<{readonly path: string; readonly value: string}> = [];
	for (const [index, {prefix}] of clientBlocks.entries()) {
		const path = `clientBlocks[${index}].prefix`;
		const canonical = canonicalPrefix(prefix);
		if (canonical === undefined) {
			problems.push(problemAt(path, prefix, 'not a CIDR prefix', 'use an IPv4 or IPv6 prefix, as 10.1.0.0/16'));
			continue;
		}

		wellFormed.push({path, value: canonical});
		if (canonical !== prefix) {
			problems.push(problemAt(path, prefix, 'not in canonical form', `use ${canonical}`));
		}
	}

	return [
		...problems,
		...findDuplicates(wellFormed, 'client block'),
		...findUnknown(place('clientBlocks', clientBlocks, '.preference', block => block.preference), sitePreferences.map(preference => preference.name), 'site preference'),
	];
};

/**
 * Checks sites, preferences, client blocks and the look-up policy.
 *
 * @param intent - An intent of valid form.
 * @returns The problems.
 */
export const checkLookups = (intent: Intent): IntentProblem[] => {
	const siteNames = intent.sites.map(site => site.name);
	const preferenceNames = intent.sitePreferences.map(preference => preference.name);
	const zoneNames = intent.regions.flatMap(region => region.availabilityZones);
	return [
		...findDuplicates(place('sites', intent.sites, '.name', site => site.name), 'site'),
		...findUnknown(place('sites', intent.sites, '.availabilityZone', site => site.availabilityZone), zoneNames, 'availability zone'),
		...findDuplicates(place('sitePreferences', intent.sitePreferences, '.name', preference => preference.name), 'site preference'),
		...intent.sitePreferences.flatMap(({sites}, index) => {
			const placed = place(`sitePreferences[${index}].sites`, sites, '', site => site);
			return [...findUnknown(placed, siteNames, 'site'), ...findDuplicates(placed, 'site')];
		}),
		...findUnknown([{path: 'lookups.defaultPreference', value: intent.lookups.defaultPreference}], preferenceNames, 'site preference'),
		...checkClientBlocks(intent),
	];
};
