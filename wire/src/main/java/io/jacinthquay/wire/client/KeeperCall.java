package io.jacinthquay.wire.client;

import io.jacinthquay.wire.gen.Keeper;
import org.apache.thrift.TException;

/**
 * One call to a keeper.
 *
 * @param <T> the answer
 */
@FunctionalInterface
public interface KeeperCall<T> {
  /**
   * Makes the call.
   *
   * @throws TException if the keeper refuses or cannot be reached
   */
  T on(Keeper.Iface keeper) throws TException;
}
