/** Adapters between the keeper and the network. */
package io.jacinthquay.keeper.adapter;
