package io.jacinthquay.decision.placement;

import io.jacinthquay.decision.slots.RendezvousHash;
import java.util.Arrays;
import java.util.Objects;

/**
 * The block hashes of a prompt, where hash <i>i</i> covers the prompt up to the end of block
 * <i>i</i>.
 *
 * <p>Prompts with the same leading blocks have the same leading hashes, so that the longest cached
 * prefix is found by looking up the hashes in order.
 */
public final class PromptPrefix {
  /** Number of tokens of a block if the engine reports none. */
  public static final int DEFAULT_BLOCK_TOKENS = 64;

  /** The prefix of a request without a prompt. */
  public static final PromptPrefix EMPTY = new PromptPrefix(new long[0], DEFAULT_BLOCK_TOKENS);

  /** Maximum number of blocks; the rest of a longer prompt is not matched. */
  public static final int MAX_BLOCKS = 512;

  private final long[] hashes;
  private final int blockTokens;

  private PromptPrefix(long[] hashes, int blockTokens) {
    this.hashes = hashes;
    this.blockTokens = blockTokens;
  }

  /**
   * Returns the prefix with the given block hashes, such as those in an engine's cache events.
   *
   * @param hashes hash of the prompt up to the end of each full block; the array is copied
   * @param blockTokens number of tokens of a block, at least 1
   * @throws IllegalArgumentException if {@code blockTokens} is below 1
   * @throws NullPointerException if {@code hashes} is null
   */
  public static PromptPrefix ofHashes(long[] hashes, int blockTokens) {
    Objects.requireNonNull(hashes, "hashes");
    if (blockTokens < 1) {
      throw new IllegalArgumentException("blockTokens must be at least 1");
    }
    int length = Math.min(hashes.length, MAX_BLOCKS);
    return new PromptPrefix(Arrays.copyOf(hashes, length), blockTokens);
  }

  /**
   * Returns the prefix of a prompt whose tokens are unknown.
   *
   * @param prompt the bytes of the prompt
   * @param blockBytes number of bytes of a block, at least 1
   * @param blockTokens assumed number of tokens of a block, at least 1
   * @throws IllegalArgumentException if a size is below 1
   */
  public static PromptPrefix ofBytes(byte[] prompt, int blockBytes, int blockTokens) {
    if (blockBytes < 1 || blockTokens < 1) {
      throw new IllegalArgumentException("blockBytes and blockTokens must be at least 1");
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
    return RendezvousHash.mix(hash + 1);
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

  /** Returns the number of tokens of a block. */
  public int blockTokens() {
    return blockTokens;
  }
}
