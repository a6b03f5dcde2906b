/**
 * Reloads the settings on SIGHUP and when the file changes. If the file has errors, the previous settings stay in force.
 */
import {unwatchFile, watchFile} from 'node:fs';
import process from 'node:process';
import {gatewayEvents} from '@filbertwell/logger/events/gatewayEvents';
import type {Logger} from '@filbertwell/logger/logger';
import {formatSettingsError, type SettingsError} from '@filbertwell/settings/settingsError';
import type {Result} from 'neverthrow';

/** Source and initial value of reloaded settings. */
export type ReloadOptions<Settings> = {
	/** Settings loaded at startup. */
	readonly initial: Settings;
	/** Path of the settings file. */
	readonly path: string;
	readonly load: (path: string) => Result<Settings, readonly SettingsError[]>;
	readonly log: Logger;
	/** Stops reloading when it is aborted. */
	readonly signal: AbortSignal;
	/** Interval at which the file is checked for changes, in milliseconds; 1000 by default. */
	readonly intervalMs?: number;
};

/** The platform doesn't notify processes of changed files, so the file is polled. */
const defaultIntervalMs = 1000;

/**
 * Starts watching a settings file.
 *
 * @param options - Initial settings, file, loader and log.
 * @returns A function that returns the settings in force.
 */
export const reloadSettings = <Settings>({initial, path, load, log, signal, intervalMs = defaultIntervalMs}: ReloadOptions<Settings>): (() => Settings) => {
	let settingsInForce = initial;
	const reload = (cause: string) => {
		const loaded = load(path);
		if (loaded.isOk()) {
			settingsInForce = loaded.value;
			log(gatewayEvents.settingsReloaded, {cause, path});
		} else {
			log(gatewayEvents.settingsRejected, {cause, path, errors: loaded.error.map(error => formatSettingsError(error)).join('; ')});
		}
	};

	const onHangup = () => {
		reload('SIGHUP');
	};

	process.on('SIGHUP', onHangup);
	watchFile(path, {interval: intervalMs, persistent: false}, () => {
		reload('changed file');
	});
	signal.addEventListener('abort', () => {
		process.off('SIGHUP', onHangup);
		unwatchFile(path);
	});
	return () => settingsInForce;
};
