/**
 * Parses and formats IP addresses and prefixes as 32-bit words.
 */
import {isIPv4, isIPv6} from 'node:net';
import ipaddr from 'ipaddr.js';
import {err, ok, type Result} from 'neverthrow';

/** Address family; an IPv4-mapped IPv6 address counts as IPv4. */
export type AddressFamily = 'ipv4' | 'ipv6';

/** An address as unsigned 32-bit words, most significant first: one for IPv4, four for IPv6. */
export type AddressWords = {
	readonly family: AddressFamily;
	readonly words: readonly number[];
};

/** Network prefix; all address bits after its length are zero. */
export type PrefixWords = AddressWords & {
	readonly length: number;
};

const lengthPattern = /^\d{1,3}$/v;
const bitsPerWord = 32;
const bytesPerWord = 4;

const wordsFromBytes = (bytes: readonly number[]): number[] => {
	const words: number[] = [];
	for (let at = 0; at < bytes.length; at += bytesPerWord) {
		words.push((((bytes[at]! * 256) + bytes[at + 1]!) * 65_536) + (bytes[at + 2]! * 256) + bytes[at + 3]!);
	}

	return words;
};

/**
 * Parses an IP address.
 *
 * @param text - IPv4 in dotted decimal notation, or IPv6 without a zone identifier.
 * @returns The address, or an error message.
 */
export const parseAddress = (text: string): Result<AddressWords, string> => {
	if (isIPv4(text)) {
		return ok({family: 'ipv4', words: wordsFromBytes(ipaddr.IPv4.parse(text).toByteArray())});
	}

	if (!isIPv6(text) || text.includes('%')) {
		return err(`"${text}" is not an IP address; give one as 192.0.2.1 or 2001:db8::1`);
	}

	const address = ipaddr.IPv6.parse(text);
	return ok(address.isIPv4MappedAddress()
		? {family: 'ipv4', words: wordsFromBytes(address.toIPv4Address().toByteArray())}
		: {family: 'ipv6', words: wordsFromBytes(address.toByteArray())});
};

/**
 * Keeps the first bits of an address and clears the rest.
 *
 * @param words - Words of the address, most significant first.
 * @param length - Number of bits to keep.
 * @returns Words of the network address.
 */
export const maskWords = (words: readonly number[], length: number): number[] => words.map((word, index) => {
	const kept = Math.min(Math.max(length - (index * bitsPerWord), 0), bitsPerWord);
	const unit = 2 ** (bitsPerWord - kept);
	return Math.floor(word / unit) * unit;
});

/**
 * Parses a prefix in CIDR notation. Bits after the length are cleared.
 *
 * @param text - For example `192.0.2.0/24` or `2001:db8::/32`.
 * @returns The prefix, or an error message.
 */
export const parsePrefix = (text: string): Result<PrefixWords, string> => {
	const slash = text.lastIndexOf('/');
	const lengthText = text.slice(slash + 1);
	const length = Number(lengthText);
	return parseAddress(slash === -1 ? text : text.slice(0, slash)).andThen<PrefixWords, string>(({family, words}) => {
		const isValidLength = slash !== -1 && lengthPattern.test(lengthText) && length <= words.length * bitsPerWord;
		return isValidLength
			? ok({family, length, words: maskWords(words, length)})
			: err(`"${text}" is not a prefix; use CIDR notation such as 192.0.2.0/24 or 2001:db8::/32`);
	});
};

/**
 * Formats a prefix in CIDR notation.
 *
 * @param prefix - Words and length of the prefix.
 * @returns The prefix as text; IPv6 addresses are in their shortest form.
 */
export const formatPrefix = ({words, length}: Pick<PrefixWords, 'words' | 'length'>): string => {
	const bytes = words.flatMap(word => [
		Math.floor(word / 16_777_216),
		Math.floor(word / 65_536) % 256,
		Math.floor(word / 256) % 256,
		word % 256,
	]);
	return `${ipaddr.fromByteArray(bytes).toString()}/${length}`;
};
