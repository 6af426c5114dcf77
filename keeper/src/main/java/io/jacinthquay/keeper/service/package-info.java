/** Services of a keeper: proposing commands, serving readers and tracking contact with a quorum. */
package io.jacinthquay.keeper.service;
