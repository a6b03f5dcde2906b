/**
 * Checks the names in shares and shifts.
 */
import type {Intent} from '@filbertwell/types/intent';
import type {IntentProblem} from '../intentProblem.js';
import {findDuplicates, findUnknown, place} from './problemAt.js';

/**
 * Checks the names in shares and shifts.
 *
 * @param intent - An intent of valid form.
 * @returns The problems.
 */
export const checkShares = (intent: Intent): IntentProblem[] => {
	const {regionShares, shifts} = intent;
	const regionNames = intent.regions.map(region => region.name);
	const serviceNames = intent.services.map(service => service.name);
	const shareServices = place('regionShares', regionShares, '.service', share => share.service).filter(({value}) => value !== '*');
	return [
		...findUnknown(place('regionShares', regionShares, '.region', share => share.region), regionNames, 'region'),
		...findUnknown(shareServices, serviceNames, 'service'),
		...findDuplicates(place('regionShares', regionShares, '', share => `${share.region} for ${share.service}`), 'region share'),
		...findUnknown(place('shifts', shifts, '.region', shift => shift.region), regionNames, 'region'),
		...findUnknown(place('shifts', shifts, '.service', shift => shift.service), serviceNames, 'service'),
		...findDuplicates(place('shifts', shifts, '', shift => `${shift.service} to ${shift.region}`), 'shift'),
	];
};
