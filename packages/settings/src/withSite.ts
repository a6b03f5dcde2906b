/**
 * Default of the `site` setting, which depends on another setting.
 */

type SettingsWithLocation = {
	readonly process: {
		readonly availabilityZone: string;
		readonly site: string | undefined;
	};
};

/** Settings in which the site is always defined. */
export type WithSite<Values extends SettingsWithLocation> = Values & {readonly process: {readonly site: string}};

/**
 * Sets the site to the availability zone if it is not defined.
 *
 * @param values - Settings of a process.
 * @returns A copy of the settings with a site.
 */
export const withSite = <Values extends SettingsWithLocation>(values: Values): WithSite<Values> => ({
	...values,
	process: {...values.process, site: values.process.site ?? values.process.availabilityZone},
});
