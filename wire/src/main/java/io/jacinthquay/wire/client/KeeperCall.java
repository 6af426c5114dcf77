package io.jacinthquay.wire.client;

import io.jacinthquay.wire.gen.Keeper;
import org.apache.thrift.TException;

/**
 * One call to a keeper.
 *
 * @param <T> the type of the result
 */
@FunctionalInterface
public interface KeeperCall<T> {
  /**
   * Makes the call.
   *
   * @throws TException if the keeper rejects the call or cannot be reached
   */
  T invoke(Keeper.Iface keeper) throws TException;
}
