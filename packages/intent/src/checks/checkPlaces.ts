/**
 * Checks of regions, availability zones, link caps and tenants.
 */
import type {Intent} from '@filbertwell/types/intent';
import type {IntentProblem} from '../intentProblem.js';
import {
	findDuplicates, findUnknown, place, problemAt,
} from './problemAt.js';

const checkLinkCaps = ({linkCaps, regions}: Intent): IntentProblem[] => {
	const regionNames = regions.map(region => region.name);
	return [
		...findUnknown(linkCaps.flatMap(({between}, index) => place(`linkCaps[${index}].between`, between, '', name => name)), regionNames, 'region'),
		...linkCaps.flatMap(({between: [from, to]}, index) => from === to
			? [problemAt(`linkCaps[${index}].between`, [from, to], 'a link joins two different regions', 'name two regions or remove the cap')]
			: []),
		...findDuplicates(place('linkCaps', linkCaps, '.between', ({between}) => between.toSorted().join(' and ')), 'pair of regions'),
	];
};

/**
 * Checks regions, availability zones, link caps and tenants.
 *
 * @param intent - An intent of valid form.
 * @returns The problems.
 */
export const checkPlaces = (intent: Intent): IntentProblem[] => [
	...findDuplicates(place('regions', intent.regions, '.name', region => region.name), 'region'),
	...findDuplicates(
		intent.regions.flatMap((region, index) => place(`regions[${index}].availabilityZones`, region.availabilityZones, '', name => name)),
		'availability zone',
	),
	...checkLinkCaps(intent),
	...findDuplicates(place('tenants', intent.tenants, '.name', tenant => tenant.name), 'tenant'),
];
