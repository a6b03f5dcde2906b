/**
 * What operators name on the command line to drain.
 */
import type {DrainTarget} from '@filbertwell/types/intent';

/** Word for a drain's target on the command line. */
export type TargetWord = 'endpoint' | 'zone' | 'region' | 'entry';

/** Words for a drain's target. */
export const targetWords: readonly TargetWord[] = ['endpoint', 'zone', 'region', 'entry'];

/** The target that a word stands for. */
export const targetOfWord = (word: TargetWord): DrainTarget => word === 'zone' ? 'availabilityZone' : word;

/** The word for a target. */
export const wordOfTarget = (target: DrainTarget): TargetWord => target === 'availabilityZone' ? 'zone' : target;
