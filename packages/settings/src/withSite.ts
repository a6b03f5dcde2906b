/**
 * The default of the site, which is another setting's value.
 */

type Located = {
	readonly process: {
		readonly availabilityZone: string;
		readonly site: string | undefined;
	};
};

/** Settings whose site is known. */
export type WithSite<Values extends Located> = Values & {readonly process: {readonly site: string}};

/**
 * Sets the site to the availability zone where it is empty.
 *
 * @param values - Settings of a process.
 * @returns The settings with a site.
 */
export const withSite = <Values extends Located>(values: Values): WithSite<Values> => ({
	...values,
	process: {...values.process, site: values.process.site ?? values.process.availabilityZone},
});
