/**
 * Checks sites, site preferences, client blocks and the look-up policy.
 */
import type {Intent} from '@filbertwell/types/intent';
import ipaddr from 'ipaddr.js';
import type {IntentProblem} from '../intentProblem.js';
import {
	findDuplicates, findUnknown, listValuesAt, problemAt,
} from './crossFieldChecks.js';

/**
 * Converts a CIDR prefix to its canonical form.
 *
 * @param prefix - For instance `10.1.0.0/16` or `fd00:0:0::/48`.
 * @returns The canonical form with the host bits cleared, or `undefined` if the text is not a CIDR prefix.
 */
export const canonicalizePrefix = (prefix: string): string | undefined => {
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
	const validPrefixes: Array<{readonly path: string; readonly value: string}> = [];
	for (const [index, {prefix}] of clientBlocks.entries()) {
		const path = `clientBlocks[${index}].prefix`;
		const canonical = canonicalizePrefix(prefix);
		if (canonical === undefined) {
			problems.push(problemAt(path, prefix, 'not a CIDR prefix', 'use an IPv4 or IPv6 prefix, as 10.1.0.0/16'));
			continue;
		}

		validPrefixes.push({path, value: canonical});
		if (canonical !== prefix) {
			problems.push(problemAt(path, prefix, 'not in canonical form', `use ${canonical}`));
		}
	}

	return [
		...problems,
		...findDuplicates(validPrefixes, 'client block'),
		...findUnknown(listValuesAt('clientBlocks', clientBlocks, '.preference', block => block.preference), sitePreferences.map(preference => preference.name), 'site preference'),
	];
};

/**
 * Finds duplicate sites, site preferences and client blocks, malformed prefixes, and references to names
 * that the intent does not define.
 *
 * @param intent - An intent that matches the schema.
 * @returns The problems; empty if there are none.
 */
export const checkLookups = (intent: Intent): IntentProblem[] => {
	const siteNames = intent.sites.map(site => site.name);
	const preferenceNames = intent.sitePreferences.map(preference => preference.name);
	const zoneNames = intent.regions.flatMap(region => region.availabilityZones);
	return [
		...findDuplicates(listValuesAt('sites', intent.sites, '.name', site => site.name), 'site'),
		...findUnknown(listValuesAt('sites', intent.sites, '.availabilityZone', site => site.availabilityZone), zoneNames, 'availability zone'),
		...findDuplicates(listValuesAt('sitePreferences', intent.sitePreferences, '.name', preference => preference.name), 'site preference'),
		...intent.sitePreferences.flatMap(({sites}, index) => {
			const siteReferences = listValuesAt(`sitePreferences[${index}].sites`, sites, '', site => site);
			return [...findUnknown(siteReferences, siteNames, 'site'), ...findDuplicates(siteReferences, 'site')];
		}),
		...findUnknown([{path: 'lookups.defaultPreference', value: intent.lookups.defaultPreference}], preferenceNames, 'site preference'),
		...checkClientBlocks(intent),
	];
};
