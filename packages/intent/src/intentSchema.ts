/**
 * Schema of an intent, which covers each field on its own. Rules that involve several fields are checked in `checks/`.
 * The error message of each schema becomes the `fix` of the reported problem.
 */
import {isIP} from 'node:net';
import {type Intent, requestClasses} from '@filbertwell/types/intent';
import {nearestName} from '@filbertwell/utils/nearestName';
import * as z from 'zod';

/** Creates an object schema that rejects unknown keys; the error names the most similar known key. */
const strictObject = <Shape extends Readonly<Record<string, z.ZodType>>>(shape: Shape) => z.strictObject(shape, {
	error(issue) {
		const known = Object.keys(shape);
		if (issue.code !== 'unrecognized_keys') {
			return `use an object with the keys ${known.join(', ')}`;
		}

		const nearest = (issue.keys as readonly string[]).map(key => nearestName(key, known));
		return `remove it, or use the nearest known key "${nearest.join('", "')}" (known: ${known.join(', ')})`;
	},
});

const text = (maximumLength: number) => z.string(`use a text of at most ${maximumLength} characters`)
	.max(maximumLength, `use a text of at most ${maximumLength} characters`);

const nameFix = 'use a name of 1 to 63 letters, digits, ".", "_" and "-", starting with a letter or digit';
const name = z.string(nameFix).regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/u, nameFix);

const integer = (minimum: number, maximum: number, unit = '') => {
	const fix = `use an integer from ${minimum} to ${maximum}${unit}`;
	return z.int(fix).min(minimum, fix).max(maximum, fix);
};

const fraction = (minimum: number, maximum: number) => {
	const fix = `use a number from ${minimum} to ${maximum}`;
	return z.number(fix).min(minimum, fix).max(maximum, fix);
};

const oneOf = <const Value extends string>(values: readonly Value[]) => z.enum(values as [Value, ...Value[]], `use one of ${values.join(', ')}`);

const list = <Item extends z.ZodType>(item: Item) => z.array(item, 'use a list');

const nonEmptyList = <Item extends z.ZodType>(item: Item) => list(item).min(1, 'add at least one item');

const ipFix = 'use an IPv4 or IPv6 number, as 10.0.1.5';
const ipNumber = z.string(ipFix).refine(value => isIP(value) > 0, ipFix);

const pathFix = 'use a path that starts with "/", without spaces, "?" and "#"';
const path = z.string(pathFix).regex(/^\/[^\s?#]*$/u, pathFix);

const servicePathFix = 'use one path segment that starts with "/", as "/orders"';
const servicePath = z.string(servicePathFix).regex(/^\/[A-Za-z0-9._~-]+$/u, servicePathFix);

const methodFix = 'use an upper-case HTTP method, as "GET"';
const method = z.string(methodFix).regex(/^[A-Z]{1,20}$/u, methodFix);

const hostFix = 'use a lower-case host name without a port, as "orders.example"';
const hostName = z.string(hostFix).regex(/^[a-z0-9][a-z0-9.-]{0,252}$/u, hostFix);

const reasonFix = 'say in a text of 1 to 200 characters why the place is drained';

const endpointSchema = strictObject({
	id: name,
	host: ipNumber,
	port: integer(1, 65_535),
	availabilityZone: name,
	slots: integer(1, 10_000),
});

const routeSchema = strictObject({
	name,
	methods: list(method),
	pathPrefix: path,
	requestClass: oneOf(requestClasses),
	kind: oneOf(['idempotent', 'atMostOnce']),
	deadlineMs: integer(1, 600_000, ' (milliseconds)'),
	hedge: z.boolean('use true or false'),
	claimOutage: oneOf(['refuse', 'firstAttempt']),
});

const serviceSchema = strictObject({
	name,
	pathPrefix: servicePath,
	hosts: list(hostName),
	endpoints: nonEmptyList(endpointSchema),
	routes: nonEmptyList(routeSchema),
	maximumBodyBytes: integer(0, 1_073_741_824, ' (bytes)'),
});

/** Schema of an intent, without the rules that involve several fields. */
export const intentSchema = strictObject({
	deployment: name,
	regions: nonEmptyList(strictObject({name, availabilityZones: nonEmptyList(name)})),
	services: nonEmptyList(serviceSchema),
	regionShares: list(strictObject({
		region: name,
		service: z.union([z.literal('*'), name], `${nameFix}, or "*" for all services`),
		maximumShare: fraction(0, 1),
	})),
	linkCaps: list(strictObject({
		between: z.tuple([name, name], 'use a list of two region names'),
		megabitsPerSecond: fraction(0.001, 10_000_000),
	})),
	shiftCaps: strictObject({
		plannedSharePerMinute: fraction(0.001, 60),
		failoverSharePerMinute: fraction(0.001, 60),
	}),
	drains: list(strictObject({
		target: oneOf(['endpoint', 'availabilityZone', 'region', 'entry']),
		name,
		pace: oneOf(['capped', 'immediate']),
		reason: z.string(reasonFix).min(1, reasonFix).max(200, reasonFix),
	})),
	shifts: list(strictObject({service: name, region: name, share: fraction(0, 1)})),
	sites: nonEmptyList(strictObject({name, availabilityZone: name})),
	sitePreferences: nonEmptyList(strictObject({name, sites: nonEmptyList(name)})),
	clientBlocks: list(strictObject({prefix: text(49), preference: name})),
	lookups: strictObject({
		lifetimeSeconds: integer(1, 3600, ' (seconds)'),
		addresses: integer(1, 64),
		defaultPreference: name,
	}),
	tenants: list(strictObject({name, weight: fraction(0.001, 1_000_000)})),
}) satisfies z.ZodType<Intent>;
