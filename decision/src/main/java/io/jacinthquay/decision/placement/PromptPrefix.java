package io.jacinthquay.decision.placement;

import io.jacinthquay.decision.slots.Rendezvous;
import java.util.Arrays;
import java.util.Objects;

/**
 * A prompt as a chain of block hashes: hash number i covers the prompt up to the end of block i.
 *
 * <p>Two prompts with the same leading blocks have the same leading hashes, so that a cached prefix
 * is found by looking up hashes one after the other.
 */
public final class PromptPrefix {
  /** Tokens of a block where the engine states none. */
  public static final int DEFAULT_BLOCK_TOKENS = 64;

  /** The prefix of a request without a prompt. */
  public static final PromptPrefix EMPTY = new PromptPrefix(new long[0], DEFAULT_BLOCK_TOKENS);

  /** Longest chain kept, in blocks; what follows does not take part in matching. */
  public static final int MAX_BLOCKS = 512;

  private final long[] hashes;
  private final int blockTokens;

  private PromptPrefix(long[] hashes, int blockTokens) {
    this.hashes = hashes;
    this.blockTokens = blockTokens;
  }

  /**
   * Returns a chain made of known block hashes, such as those in an engine's cache events.
   *
   * @param hashes hash of the prompt up to the end of each full block; copied
   * @param blockTokens tokens of a block, at least 1
   * @throws IllegalArgumentException if {@code blockTokens} is out of range
   */
  public static PromptPrefix ofHashes(long[] hashes, int blockTokens) {
    Objects.requireNonNull(hashes, "hashes");
    if (blockTokens < 1) {
      throw new IllegalArgumentException("a block has at least one token");
    }
    int length = Math.min(hashes.length, MAX_BLOCKS);
    return new PromptPrefix(Arrays.copyOf(hashes, length), blockTokens);
  }

  /**
   * Returns the chain of a prompt whose tokens are not known.
   *
   * @param prompt the bytes of the prompt
   * @param blockBytes bytes that count as one block, at least 1
   * @param blockTokens tokens that such a block stands for, at least 1
   * @throws IllegalArgumentException if a size is out of range
   */
  public static PromptPrefix ofBytes(byte[] prompt, int blockBytes, int blockTokens) {
    if (blockBytes < 1 || blockTokens < 1) {
      throw new IllegalArgumentException("sizes must be at least 1");
    }
    int blocks = Math.min(prompt.length / blockBytes, MAX_BLOCKS);
    long[] hashes = new long[blocks];
    long chain = 0;
    for (int block = 0; block < blocks; block++) {
      chain = hashBlock(chain, prompt, block * blockBytes, blockBytes);
      hashes[block] = chain;
    }
    return new PromptPrefix(hashes, blockTokens);
  }

  private static long hashBlock(long chain, byte[] prompt, int from, int length) {
    long hash = chain;
    for (int i = from; i < from + length; i++) {
      hash = hash * 31 + prompt[i];
    }
    return Rendezvous.mix(hash + 1);
  }

  /** Returns the number of blocks. */
  public int blocks() {
    return hashes.length;
  }

  /**
   * Returns the hash of the prompt up to the end of a block.
   *
   * @param block 0 to {@link #blocks()} - 1
   * @throws IndexOutOfBoundsException if there is no such block
   */
  public long hash(int block) {
    return hashes[block];
  }

  /** Returns the tokens of one block. */
  public int blockTokens() {
    return blockTokens;
  }
}
