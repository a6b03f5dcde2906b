/**
 * Explains how this entry would route a request, decision by decision, without sending it.
 */
import type {ServiceState} from '@filbertwell/routing/routerState';
import type {Lookup} from '@filbertwell/steering/lookup';
import type {Steering} from '@filbertwell/steering/steering';
import type {Configuration} from '@filbertwell/types/configuration';
import type {Explanation, ExplanationStep} from '@filbertwell/types/entryState';
import type {Service} from '@filbertwell/types/intent';
import {err, ok, type Result} from 'neverthrow';
import type {ExplanationQuery} from './adminServer.js';
import {findRoute} from './serviceIndex.js';

/** State that an explanation is derived from. */
export type ExplanationSources = {
	readonly entry: string;
	readonly configuration: () => Configuration | undefined;
	readonly lookup: Pick<Lookup, 'answer'>;
	readonly steering: Pick<Steering, 'progress'>;
	readonly routerState: () => readonly ServiceState[];
};

const percent = (share: number): string => `${(100 * share).toFixed(1)}%`;

const lookupSteps = (lookup: Pick<Lookup, 'answer'>, {service, address}: ExplanationQuery): ExplanationStep[] => lookup.answer(service, address).match(
	answer => [
		{
			decision: 'clientBlock',
			choice: answer.block ?? 'none',
			reason: answer.block === undefined ? `${address} is in no block; the default preference applies` : `the longest block that holds ${address}`,
		},
		{
			decision: 'entry',
			choice: answer.addresses.map(({entry}) => entry).join(', '),
			reason: `serving entries of the preferred sites in order, for ${answer.lifetimeSeconds} s`,
		},
	],
	error => [{decision: 'entry', choice: 'none', reason: error.message}],
);

const routeStep = (service: Service, {method, path}: ExplanationQuery): ExplanationStep => {
	const route = findRoute(service, method, path);
	return route === undefined
		? {decision: 'route', choice: 'none', reason: `no route of ${service.name} matches ${method} ${path}; the request would be refused`}
		: {decision: 'route', choice: route.name, reason: `first route that matches ${method} ${path}: ${route.requestClass}, ${route.kind}, deadline ${route.deadlineMs} ms`};
};

const zoneStep = (steering: Pick<Steering, 'progress'>, service: string): ExplanationStep => {
	const shift = steering.progress().find(progress => progress.service === service);
	if (shift === undefined || shift.current.length === 0) {
		return {decision: 'availabilityZone', choice: 'none', reason: 'this entry has no split for the service yet'};
	}

	const shares = shift.current.map(({availabilityZone, share}) => `${availabilityZone} ${percent(share)}`);
	const remainder = shift.remaining > 0 ? `; ${percent(shift.remaining)} is still to move, held by ${shift.heldBy}` : '';
	return {decision: 'availabilityZone', choice: shares.join(', '), reason: `the current split of this entry's requests${remainder}`};
};

const endpointStep = (state: ServiceState | undefined): ExplanationStep => {
	const usable = state?.endpoints.filter(endpoint => endpoint.leaving.length === 0 && endpoint.health !== 'ejected') ?? [];
	const unusable = state?.endpoints.filter(endpoint => !usable.includes(endpoint)) ?? [];
	const exclusions = unusable.map(({id, leaving, ejectedFor}) => `${id} (${leaving.length > 0 ? `leaving by ${leaving.join(' and ')}` : ejectedFor})`);
	return {
		decision: 'endpoint',
		choice: usable.map(({id}) => id).join(', ') || 'none',
		reason: `endpoints that may take it, the least loaded of the chosen availability zone first${exclusions.length > 0 ? `; left out: ${exclusions.join(', ')}` : ''}`,
	};
};

/**
 * Explains how a request would be routed.
 *
 * @param sources - Configuration, look-ups, split and endpoints of this entry.
 * @param query - Service, caller address, method and path of the request.
 * @returns The decisions in order, or an error sentence if no configuration is in force or the service is unknown.
 */
export const explainRequest = (sources: ExplanationSources, query: ExplanationQuery): Result<Explanation, string> => {
	const configuration = sources.configuration();
	if (configuration === undefined) {
		return err('no configuration is in force yet; apply one');
	}

	const service = configuration.intent.services.find(({name}) => name === query.service);
	if (service === undefined) {
		return err(`service "${query.service}" is not configured; use one of ${configuration.intent.services.map(({name}) => name).join(', ')}`);
	}

	return ok({
		entry: sources.entry,
		configurationVersion: configuration.version,
		steps: [
			...lookupSteps(sources.lookup, query),
			{decision: 'service', choice: service.name, reason: `path prefix ${service.pathPrefix}${service.hosts.length > 0 ? ` or host ${service.hosts.join(', ')}` : ''}`},
			routeStep(service, query),
			zoneStep(sources.steering, service.name),
			endpointStep(sources.routerState().find(state => state.service === service.name)),
		],
	});
};
