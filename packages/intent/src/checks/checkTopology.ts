/**
 * Checks regions, availability zones, link caps and tenants.
 */
import type {Intent} from '@filbertwell/types/intent';
import type {IntentProblem} from '../intentProblem.js';
import {
	findDuplicates, findUnknown, listValuesAt, problemAt,
} from './crossFieldChecks.js';

const checkLinkCaps = ({linkCaps, regions}: Intent): IntentProblem[] => {
	const regionNames = regions.map(region => region.name);
	return [
		...findUnknown(linkCaps.flatMap(({between}, index) => listValuesAt(`linkCaps[${index}].between`, between, '', name => name)), regionNames, 'region'),
		...linkCaps.flatMap(({between: [from, to]}, index) => from === to
			? [problemAt(`linkCaps[${index}].between`, [from, to], 'a link joins two different regions', 'name two regions or remove the cap')]
			: []),
		...findDuplicates(listValuesAt('linkCaps', linkCaps, '.between', ({between}) => between.toSorted().join(' and ')), 'pair of regions'),
	];
};

/**
 * Finds duplicate regions, availability zones, link caps and tenants, and link caps that do not join two different
 * known regions.
 *
 * @param intent - An intent that matches the schema.
 * @returns The problems; empty if there are none.
 */
export const checkTopology = (intent: Intent): IntentProblem[] => [
	...findDuplicates(listValuesAt('regions', intent.regions, '.name', region => region.name), 'region'),
	...findDuplicates(
		intent.regions.flatMap((region, index) => listValuesAt(`regions[${index}].availabilityZones`, region.availabilityZones, '', name => name)),
		'availability zone',
	),
	...checkLinkCaps(intent),
	...findDuplicates(listValuesAt('tenants', intent.tenants, '.name', tenant => tenant.name), 'tenant'),
];
