/**
 * Shapes of the two deployments of today: intent, entries and what callers send.
 */
import {rodalarIntent} from '@filbertwell/example-rodalar/rodalarIntent';
import {sugarloafIntent} from '@filbertwell/example-sugarloaf/sugarloafIntent';
import type {Intent} from '@filbertwell/types/intent';
import type {RouteLoad} from '@filbertwell/load/loadPlan';

/** Name of a deployment. */
export type DeploymentName = 'rodalar' | 'sugarloaf';

/** Names of the deployments. */
export const deploymentNames: readonly DeploymentName[] = ['rodalar', 'sugarloaf'];

/** Where the endpoints listen. */
export type EndpointPlacement = {
	readonly host: string;
	readonly basePort: number;
};

/** A deployment to start. */
export type DeploymentShape = {
	readonly name: DeploymentName;
	readonly createIntent: (placement: EndpointPlacement) => Intent;
	readonly routes: readonly RouteLoad[];
};

const read = (name: string, service: string, path: string, weight: number): RouteLoad => ({
	name, service, method: 'GET', path, kind: 'idempotent', requestClass: 'interactive', weight, bodyBytes: 0, deadlineMs: 1000,
});

const order = (name: string, service: string, path: string, weight: number): RouteLoad => ({
	name, service, method: 'POST', path, kind: 'atMostOnce', requestClass: 'critical', weight, bodyBytes: 300, deadlineMs: 5000,
});

const shapes: Readonly<Record<DeploymentName, DeploymentShape>> = {
	rodalar: {
		name: 'rodalar',
		createIntent: rodalarIntent,
		routes: [
			read('stock-check', 'inventory', '/inventory/items/608', 4),
			read('browse', 'catalogue', '/catalogue/wheels/100mm', 4),
			order('place-order', 'orders', '/orders/new', 1),
			order('pickup-booking', 'freight', '/freight/pickups/new', 1),
		],
	},
	sugarloaf: {
		name: 'sugarloaf',
		createIntent: sugarloafIntent,
		routes: [
			read('browse', 'designs', '/designs/birthday', 6),
			read('open-dates', 'calendar', '/calendar/bakers/12', 3),
			order('pay-deposit', 'deposits', '/deposits/new', 1),
			order('checkout', 'checkout', '/checkout/new', 1),
		],
	},
};

/**
 * Looks up a deployment.
 *
 * @param name - Its name.
 * @returns Its shape.
 */
export const deploymentShape = (name: DeploymentName): DeploymentShape => shapes[name];

/** Number of endpoints of an intent. */
export const endpointCount = (intent: Intent): number => intent.services.reduce((sum, service) => sum + service.endpoints.length, 0);
