/**
 * Types of settings: how the text of an INI value is validated and converted to a typed value.
 */
import {isIP} from 'node:net';
import * as z from 'zod';
import type {SocketAddress} from '@filbertwell/types/place';

/** Definition of one key of a settings file. */
export type Setting<Value> = {
	/** Validates the text of the value and converts it to the typed value. */
	readonly schema: z.ZodType<Value, string>;
	/** Text that is used if the key is absent; `undefined` if the key is required. */
	readonly defaultText: string | undefined;
	/** Description of valid values, for error messages and the settings page. */
	readonly expected: string;
	/** Unit of the value; empty if it has none. */
	readonly unit: string;
	readonly description: string;
};

/** Properties that settings of all types have. */
export type SettingDetails = {
	readonly description: string;
	/** Text of the default value; without it, the key is required. */
	readonly defaultText?: string;
};

/** Properties of a numeric setting; both bounds are inclusive. */
export type NumberDetails = SettingDetails & {
	readonly minimum: number;
	readonly maximum: number;
};

const integerPattern = /^\d{1,15}$/u;
const namePattern = /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/u;
const maximumPort = 65_535;

const integerSetting = ({description, defaultText, minimum, maximum}: NumberDetails, unit: string): Setting<number> => ({
	schema: z.string().regex(integerPattern).transform(Number).pipe(z.number().min(minimum).max(maximum)),
	defaultText,
	expected: `an integer from ${minimum} to ${maximum}`,
	unit,
	description,
});

/**
 * Parses `host:port`, where the host is an IPv4 address or an IPv6 address in brackets.
 *
 * @param text - For example `10.0.1.5:7000` or `[fd00::5]:7000`.
 * @returns The address, or `undefined` if the text is not valid.
 */
export const parseSocketAddress = (text: string): SocketAddress | undefined => {
	const separator = text.lastIndexOf(':');
	if (separator === -1) {
		return undefined;
	}

	const hostText = text.slice(0, separator);
	const isBracketed = hostText.startsWith('[') && hostText.endsWith(']');
	const host = isBracketed ? hostText.slice(1, -1) : hostText;
	const portText = text.slice(separator + 1);
	const port = Number(portText);
	const isValid = isIP(host) === (isBracketed ? 6 : 4) && integerPattern.test(portText) && port >= 1 && port <= maximumPort;
	return isValid ? {host, port} : undefined;
};

/** A name of 1 to 63 letters, digits, dots, underscores and hyphens, starting with a letter or digit. */
export const nameSetting = (details: SettingDetails): Setting<string> => ({
	schema: z.string().regex(namePattern),
	defaultText: details.defaultText,
	expected: 'a name of 1 to 63 letters, digits, ".", "_" and "-", starting with a letter or digit',
	unit: '',
	description: details.description,
});

/** A name that may be empty; an empty or absent value becomes `undefined`. */
export const optionalNameSetting = (details: SettingDetails): Setting<string | undefined> => ({
	...nameSetting(details),
	schema: z.union([
		z.literal('').transform(() => undefined),
		z.string().regex(namePattern),
	]),
	defaultText: '',
});

/** Free text of at most 1,000 characters. */
export const textSetting = (details: SettingDetails): Setting<string> => ({
	schema: z.string().max(1000),
	defaultText: details.defaultText,
	expected: 'a text of at most 1000 characters',
	unit: '',
	description: details.description,
});

/** Setting that is either true or false. */
export const flagSetting = (details: SettingDetails): Setting<'true' | 'false'> => ({
	...details,
	schema: z.enum(['true', 'false']),
	defaultText: details.defaultText,
	expected: '`true` or `false`',
	unit: '',
});

/** An IP address to listen on or to connect to. */
export const hostSetting = (details: SettingDetails): Setting<string> => ({
	schema: z.string().refine(text => isIP(text) > 0),
	defaultText: details.defaultText,
	expected: 'an IPv4 or IPv6 address, such as 10.0.1.5',
	unit: '',
	description: details.description,
});

/** A port to listen on; 0 lets the operating system choose. */
export const listenPortSetting = (details: SettingDetails): Setting<number> => integerSetting({...details, minimum: 0, maximum: maximumPort}, '');

/** A port to connect to. */
export const remotePortSetting = (details: SettingDetails): Setting<number> => integerSetting({...details, minimum: 1, maximum: maximumPort}, '');

/** A duration in milliseconds. */
export const millisecondsSetting = (details: NumberDetails): Setting<number> => integerSetting(details, 'ms');

/** A size in bytes. */
export const bytesSetting = (details: NumberDetails): Setting<number> => integerSetting(details, 'bytes');

/** A count, within bounds. */
export const countSetting = (details: NumberDetails): Setting<number> => integerSetting(details, 'count');

/** A list of `host:port` separated by commas, which may be empty. */
export const addressListSetting = (details: SettingDetails): Setting<readonly SocketAddress[]> => ({
	schema: z.string()
		.transform(text => text.split(',').map(part => part.trim()).filter(part => part !== '').map(part => parseSocketAddress(part)))
		.refine((addresses): addresses is SocketAddress[] => !addresses.includes(undefined)),
	defaultText: details.defaultText,
	expected: 'a list of host:port separated by commas, with IP addresses as hosts, such as 10.0.1.5:7000,10.0.2.5:7000',
	unit: '',
	description: details.description,
});

/** A single `host:port`. */
export const addressSetting = (details: SettingDetails): Setting<SocketAddress> => ({
	schema: z.string()
		.transform(text => parseSocketAddress(text.trim()))
		.refine((address): address is SocketAddress => address !== undefined),
	defaultText: details.defaultText,
	expected: 'host:port with an IP address as host, such as 10.0.1.5:7000',
	unit: '',
	description: details.description,
});

const parsePairs = (text: string, separator: string): Array<readonly [string, string]> => text.split(',')
	.map(part => part.trim())
	.filter(part => part !== '')
	.map(part => {
		const index = part.indexOf(separator);
		return index === -1 ? [part, ''] : [part.slice(0, index).trim(), part.slice(index + 1).trim()];
	});

/** A map from names to names, such as `zone:region`, separated by commas; it must not be empty. */
export const nameMapSetting = (details: SettingDetails): Setting<ReadonlyMap<string, string>> => ({
	schema: z.string()
		.transform(text => new Map(parsePairs(text, ':')))
		.refine(names => names.size > 0 && [...names].every(([key, value]) => namePattern.test(key) && namePattern.test(value))),
	defaultText: details.defaultText,
	expected: 'a list of name:name separated by commas, such as south-a:south,north-a:north',
	unit: '',
	description: details.description,
});

/** A map from names to numbers, such as `name=2.5`, separated by commas; values that are not numbers are ignored. */
export const numberMapSetting = (details: SettingDetails): Setting<ReadonlyMap<string, number>> => ({
	schema: z.string().transform(text => new Map(parsePairs(text, '=')
		.map(([name, value]) => [name, value === '' ? Number.NaN : Number(value)] as const)
		.filter(([, value]) => Number.isFinite(value)))),
	defaultText: details.defaultText,
	expected: 'a list of name=number separated by commas, such as graceSeconds=6,retryRatio=0.2',
	unit: '',
	description: details.description,
});
