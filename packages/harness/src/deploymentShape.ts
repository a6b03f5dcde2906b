/**
 * Shapes of the two example deployments: their intents and the requests that callers send.
 */
import {rodalarIntent} from '@filbertwell/example-rodalar/rodalarIntent';
import {sugarloafIntent} from '@filbertwell/example-sugarloaf/sugarloafIntent';
import type {Intent} from '@filbertwell/types/intent';
import type {RouteLoad} from '@filbertwell/load/loadPlan';

/** Name of an example deployment. */
export type DeploymentName = 'rodalar' | 'sugarloaf';

/** All names of example deployments, as choices on the command line. */
export const deploymentNames: readonly DeploymentName[] = ['rodalar', 'sugarloaf'];

/** Host of the endpoints and the first of their consecutive ports. */
export type EndpointPlacement = {
	readonly host: string;
	readonly basePort: number;
};

/** Intent and routes under load of an example deployment. */
export type DeploymentShape = {
	readonly name: DeploymentName;
	readonly createIntent: (placement: EndpointPlacement) => Intent;
	readonly routes: readonly RouteLoad[];
};

const readRoute = (name: string, service: string, path: string, weight: number): RouteLoad => ({
	name, service, method: 'GET', path, kind: 'idempotent', requestClass: 'interactive', weight, bodyBytes: 0, deadlineMs: 1000,
});

const orderRoute = (name: string, service: string, path: string, weight: number): RouteLoad => ({
	name, service, method: 'POST', path, kind: 'atMostOnce', requestClass: 'critical', weight, bodyBytes: 300, deadlineMs: 5000,
});

const shapes: Readonly<Record<DeploymentName, DeploymentShape>> = {
	rodalar: {
		name: 'rodalar',
		createIntent: rodalarIntent,
		routes: [
			readRoute('stock-check', 'inventory', '/inventory/items/608', 4),
			readRoute('browse', 'catalogue', '/catalogue/wheels/100mm', 4),
			orderRoute('place-order', 'orders', '/orders/new', 1),
			orderRoute('pickup-booking', 'freight', '/freight/pickups/new', 1),
		],
	},
	sugarloaf: {
		name: 'sugarloaf',
		createIntent: sugarloafIntent,
		routes: [
			readRoute('browse', 'designs', '/designs/birthday', 6),
			readRoute('open-dates', 'calendar', '/calendar/bakers/12', 3),
			orderRoute('pay-deposit', 'deposits', '/deposits/new', 1),
			orderRoute('checkout', 'checkout', '/checkout/new', 1),
		],
	},
};

/**
 * Returns the shape of an example deployment.
 *
 * @param name - Name of the deployment.
 * @returns The shape.
 */
export const deploymentShape = (name: DeploymentName): DeploymentShape => shapes[name];

/** Counts the endpoints of all services of an intent. */
export const endpointCount = (intent: Intent): number => intent.services.reduce((sum, service) => sum + service.endpoints.length, 0);
