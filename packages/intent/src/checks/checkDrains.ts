/**
 * Checks that the targets of drains exist.
 */
import type {Drain, Intent} from '@filbertwell/types/intent';
import type {IntentProblem} from '../intentProblem.js';
import {findDuplicates, findUnknown, listValuesAt} from './crossFieldChecks.js';

/** Returns the names that a target of this kind may have; `undefined` for entries, which an intent does not list. */
const knownTargets = ({regions, services}: Intent, target: Drain['target']): readonly string[] | undefined => {
	switch (target) {
		case 'endpoint': {
			return services.flatMap(service => service.endpoints.map(endpoint => endpoint.id));
		}

		case 'availabilityZone': {
			return regions.flatMap(region => region.availabilityZones);
		}

		case 'region': {
			return regions.map(region => region.name);
		}

		case 'entry': {
			return undefined;
		}
	}
};

/**
 * Finds drains with unknown targets, and targets that are drained twice.
 *
 * @param intent - An intent that matches the schema.
 * @returns The problems; empty if there are none.
 */
export const checkDrains = (intent: Intent): IntentProblem[] => [
	...intent.drains.flatMap((drain, index) => {
		const known = knownTargets(intent, drain.target);
		return known === undefined ? [] : findUnknown([{path: `drains[${index}].name`, value: drain.name}], known, drain.target === 'availabilityZone' ? 'availability zone' : drain.target);
	}),
	...findDuplicates(listValuesAt('drains', intent.drains, '', drain => `${drain.target} ${drain.name}`), 'drain'),
];
