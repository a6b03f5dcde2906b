/**
 * Checks that region shares, shifts and drains leave enough regions to serve all of each service's traffic.
 */
import type {Intent, Service} from '@filbertwell/types/intent';
import type {IntentProblem} from '../intentProblem.js';
import {serviceCapacity} from '../serviceCapacity.js';
import {problemAt} from './crossFieldChecks.js';

/** Tolerance for floating-point errors in sums such as 0.1 + 0.2 + 0.7. */
const shareTolerance = 1e-9;

const roundShare = (share: number) => Number(share.toFixed(4));

const checkServiceCapacity = (intent: Intent, service: Service, path: string): IntentProblem[] => {
	const capacity = serviceCapacity(intent, service);
	const remaining = capacity.filter(({slotsAfterDrains}) => slotsAfterDrains > 0);
	const drainNames = intent.drains.map(drain => drain.name);
	if (remaining.length === 0) {
		return [problemAt('drains', drainNames, `the drains leave service "${service.name}" without any endpoint`, 'remove one of the drains or add endpoints elsewhere')];
	}

	const maximumShareSum = capacity.filter(({slots}) => slots > 0).reduce((sum, {maximumShare}) => sum + maximumShare, 0);
	if (maximumShareSum < 1 - shareTolerance) {
		return [problemAt(
			path,
			service.name,
			`its regions may take only ${roundShare(maximumShareSum)} of its traffic together`,
			'raise maximumShare in regionShares until the regions with endpoints add up to 1 or more',
		)];
	}

	const maximumShareSumAfterDrains = remaining.reduce((sum, {maximumShare}) => sum + maximumShare, 0);
	if (maximumShareSumAfterDrains >= 1 - shareTolerance) {
		return [];
	}

	return [problemAt(
		'drains',
		drainNames,
		`the regions that the drains leave to service "${service.name}" may take only ${roundShare(maximumShareSumAfterDrains)} of its traffic together`,
		`raise maximumShare of ${remaining.map(({region}) => region).join(', ')} in regionShares, or remove one of the drains`,
	)];
};

const checkShift = (intent: Intent, index: number): IntentProblem[] => {
	const shift = intent.shifts[index]!;
	const service = intent.services.find(({name}) => name === shift.service);
	const capacity = service && serviceCapacity(intent, service).find(({region}) => region === shift.region);
	if (capacity === undefined || shift.share === 0) {
		return [];
	}

	const path = `shifts[${index}].share`;
	if (capacity.slots === 0) {
		return [problemAt(path, shift.share, `service "${shift.service}" has no slots in region "${shift.region}"`, 'add endpoints there or name another region')];
	}

	if (capacity.slotsAfterDrains === 0) {
		return [problemAt(path, shift.share, `the drains empty region "${shift.region}" of service "${shift.service}"`, 'remove the shift or the drain')];
	}

	return shift.share > capacity.maximumShare + shareTolerance
		? [problemAt(path, shift.share, `region "${shift.region}" may take at most ${capacity.maximumShare} of service "${shift.service}"`, 'lower the share or raise maximumShare in regionShares')]
		: [];
};

const checkShiftSums = ({services, shifts}: Intent): IntentProblem[] => services.flatMap(({name}) => {
	const sum = shifts.filter(({service}) => service === name).reduce((total, {share}) => total + share, 0);
	return sum > 1 + shareTolerance
		? [problemAt('shifts', name, `the shifts of service "${name}" add up to ${roundShare(sum)}`, 'lower them until they add up to at most 1')]
		: [];
});

/**
 * Checks that the regions can serve all of each service's traffic once the drains are complete.
 *
 * @param intent - An intent that matches the schema and names only regions and services that it defines.
 * @returns The problems; empty if there are none.
 */
export const checkCapacity = (intent: Intent): IntentProblem[] => [
	...checkShiftSums(intent),
	...intent.shifts.flatMap((_, index) => checkShift(intent, index)),
	...intent.services.flatMap((service, index) => checkServiceCapacity(intent, service, `services[${index}]`)),
];
