/** What a keeper does with its log and state: proposing, feeding readers, watching the quorum. */
package io.jacinthquay.keeper.service;
