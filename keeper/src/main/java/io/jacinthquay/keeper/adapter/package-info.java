/** Adapters of the keeper. */
package io.jacinthquay.keeper.adapter;
